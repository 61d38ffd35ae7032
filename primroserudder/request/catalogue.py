"""Cached pools of each deployment's groups for fast routing decisions."""

import bisect
import itertools
from collections import Counter
from collections.abc import (
    Collection,
    Iterable,
    Mapping,
    Sequence,
)
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TypeAlias

import xxhash

from ..process.evidence import EvidenceBook
from ..process.groups import GroupDirectory, GroupRecord

CATALOGUE_LIFETIME_S = 0.25
RING_POINTS_PER_GROUP = 8

# Model version and failure domain.
PoolKey: TypeAlias = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Pool:
    """Groups of one model version in one failure domain."""

    groups: Sequence[GroupRecord]
    by_id: Mapping[str, GroupRecord]
    ring: Sequence[tuple[int, int]]

    def home_groups(self, name: str, count: int) -> Sequence[GroupRecord]:
        """Return the first ``count`` groups after a name on the hash ring."""
        start = bisect.bisect(self.ring, (_ring_position(name), 0))
        size = len(self.ring)
        indices: dict[int, None] = {}
        for step in range(size):
            _, index = self.ring[(start + step) % size]
            indices[index] = None
            if len(indices) >= count:
                break
        return [self.groups[index] for index in indices]


EMPTY_POOL = Pool((), MappingProxyType({}), ())


def _ring_position(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def make_pool(groups: Sequence[GroupRecord]) -> Pool:
    """Return a pool with its hash ring."""
    ring = [
        (_ring_position(f'{group.group_id}/{point}'), index)
        for index, group in enumerate(groups)
        for point in range(RING_POINTS_PER_GROUP)
    ]
    by_id = {group.group_id: group for group in groups}
    return Pool(groups, by_id, sorted(ring))


@dataclass(frozen=True, slots=True)
class _DeploymentPools:
    """Pools of a deployment, as of a monotonic time in seconds."""

    built_at: float
    pools: Mapping[PoolKey, Pool]
    pools_by_version: dict[str, dict[str, Pool]] = field(default_factory=dict)
    groups_by_version: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Index the pools by model version."""
        for (version, domain), pool in self.pools.items():
            self.pools_by_version.setdefault(version, {})[domain] = pool
            self.groups_by_version[version] += len(pool.groups)


@dataclass(slots=True)
class Catalogue:
    """Cache of pools by deployment, model version and failure domain.

    Explanation
    ===========
    A routing decision examines only a few groups of a pool. The pools of this
    entry's failure domain may be ``CATALOGUE_LIFETIME_S`` old and those of
    other domains older, so the caller must check a chosen group against the
    directory and the evidence before it uses the group.
    """

    directory: GroupDirectory
    evidence: EvidenceBook
    failure_domain: str
    _rebuild_count: int = 0
    _cached_by_deployment: dict[str, _DeploymentPools] = field(
        default_factory=dict
    )

    def pools(
        self,
        deployment: str,
        version: str,
        now: float,
    ) -> Mapping[str, Pool]:
        """Return the pools of a model version by failure domain."""
        cached = self._deployment_pools(deployment, now)
        return cached.pools_by_version.get(version, {})

    def groups_by_version(
        self, deployment: str, now: float
    ) -> Mapping[str, int]:
        """Return the number of serving groups of each model version."""
        return self._deployment_pools(deployment, now).groups_by_version

    def domains(self, deployment: str, now: float) -> AbstractSet[str]:
        """Return the failure domains that have serving groups."""
        cached = self._deployment_pools(deployment, now)
        return {domain for _, domain in cached.pools}

    def groups(
        self,
        deployment: str,
        failure_domain: str,
        now: float,
    ) -> Iterable[GroupRecord]:
        """Return the serving groups of all versions in a failure domain."""
        cached = self._deployment_pools(deployment, now)
        return itertools.chain.from_iterable(
            pool.groups
            for (_, domain), pool in cached.pools.items()
            if domain == failure_domain
        )

    def invalidate(self, deployment: str) -> None:
        """Discard the cached pools; the next access builds them again."""
        self._cached_by_deployment.pop(deployment, None)

    def _deployment_pools(
        self, deployment: str, now: float
    ) -> _DeploymentPools:
        cached = self._cached_by_deployment.get(deployment)
        if cached is None or now - cached.built_at >= CATALOGUE_LIFETIME_S:
            cached = self._build(deployment, now, cached)
            self._cached_by_deployment[deployment] = cached
        return cached

    def _build(
        self,
        deployment: str,
        now: float,
        cached: _DeploymentPools | None,
    ) -> _DeploymentPools:
        by_domain: dict[str, list[GroupRecord]] = {}
        for group in self.directory.of_deployment(deployment):
            by_domain.setdefault(group.failure_domain, []).append(group)
        previous = cached.pools if cached else {}
        rebuilt = (
            self._domains_to_rebuild(sorted(by_domain))
            if previous
            else by_domain.keys()
        )
        pools = {
            key: pool
            for key, pool in previous.items()
            if key[1] in by_domain and key[1] not in rebuilt
        }
        for domain in rebuilt & by_domain.keys():
            pools.update(self._pools_of(by_domain[domain], previous))
        return _DeploymentPools(now, pools)

    def _domains_to_rebuild(self, domains: Sequence[str]) -> Collection[str]:
        # Other failure domains are rebuilt one per refresh: there may be many,
        # and they receive few requests.
        self._rebuild_count += 1
        next_domain = (
            domains[self._rebuild_count % len(domains)] if domains else ''
        )
        return {self.failure_domain, next_domain}

    def _pools_of(
        self,
        groups: Iterable[GroupRecord],
        previous: Mapping[PoolKey, Pool],
    ) -> Mapping[PoolKey, Pool]:
        groups_by_pool: dict[PoolKey, list[GroupRecord]] = {}
        for group in groups:
            if self.evidence.is_serving(group):
                key = (group.model_version, group.failure_domain)
                groups_by_pool.setdefault(key, []).append(group)
        return {
            key: _reuse_or_make(previous.get(key), members)
            for key, members in groups_by_pool.items()
        }


def _reuse_or_make(cached: Pool | None, groups: Sequence[GroupRecord]) -> Pool:
    # Building the ring is expensive, so it is reused for unchanged groups.
    if cached is not None and cached.groups == groups:
        return cached
    return make_pool(groups)
