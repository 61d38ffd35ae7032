"""The groups of each deployment, arranged for quick decisions."""

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
RING_POINTS = 8

# Model version and failure domain.
PoolKey: TypeAlias = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Pool:
    """Groups of one model version in one failure domain."""

    groups: Sequence[GroupRecord]
    by_id: Mapping[str, GroupRecord]
    ring: Sequence[tuple[int, int]]

    def homes(self, name: str, count: int) -> Sequence[GroupRecord]:
        """Return the groups that follow a name on the hash ring."""
        start = bisect.bisect(self.ring, (_point(name), 0))
        size = len(self.ring)
        found: dict[int, None] = {}
        for step in range(size):
            _, index = self.ring[(start + step) % size]
            found[index] = None
            if len(found) >= count:
                break
        return [self.groups[index] for index in found]


NO_GROUPS = Pool((), MappingProxyType({}), ())


def _point(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def make_pool(groups: Sequence[GroupRecord]) -> Pool:
    """Return a pool with its hash ring."""
    ring = [
        (_point(f'{group.group_id}/{point}'), index)
        for index, group in enumerate(groups)
        for point in range(RING_POINTS)
    ]
    by_id = {group.group_id: group for group in groups}
    return Pool(groups, by_id, sorted(ring))


@dataclass(frozen=True, slots=True)
class _Shelf:
    """What a deployment's pools were at a time."""

    made_at: float
    pools: Mapping[PoolKey, Pool]
    pools_by_version: dict[str, dict[str, Pool]] = field(default_factory=dict)
    groups_by_version: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Arrange the pools by version."""
        for (version, domain), pool in self.pools.items():
            self.pools_by_version.setdefault(version, {})[domain] = pool
            self.groups_by_version[version] += len(pool.groups)


@dataclass(slots=True)
class Catalogue:
    """Pools by deployment, version and failure domain, renewed now and then.

    Explanation
    ===========
    A decision looks at a few groups of a pool alone. The pools may be
    ``CATALOGUE_LIFETIME_S`` old, so that whoever takes a group from them
    checks it against the directory and the evidence at that moment.
    """

    directory: GroupDirectory
    evidence: EvidenceBook
    failure_domain: str
    _turn: int = 0
    _shelves_by_deployment: dict[str, _Shelf] = field(default_factory=dict)

    def pools(
        self,
        deployment: str,
        version: str,
        now: float,
    ) -> Mapping[str, Pool]:
        """Return a version's pools by failure domain."""
        shelf = self._shelf(deployment, now)
        return shelf.pools_by_version.get(version, {})

    def groups_by_version(
        self, deployment: str, now: float
    ) -> Mapping[str, int]:
        """Return how many serving groups each model version has."""
        return self._shelf(deployment, now).groups_by_version

    def domains(self, deployment: str, now: float) -> AbstractSet[str]:
        """Return the failure domains with serving groups."""
        shelf = self._shelf(deployment, now)
        return {domain for _, domain in shelf.pools}

    def groups(
        self,
        deployment: str,
        failure_domain: str,
        now: float,
    ) -> Iterable[GroupRecord]:
        """Yield the serving groups of a failure domain, of any version."""
        shelf = self._shelf(deployment, now)
        return itertools.chain.from_iterable(
            pool.groups
            for (_, domain), pool in shelf.pools.items()
            if domain == failure_domain
        )

    def drop(self, deployment: str) -> None:
        """Let the next look make the pools anew."""
        self._shelves_by_deployment.pop(deployment, None)

    def _shelf(self, deployment: str, now: float) -> _Shelf:
        known = self._shelves_by_deployment.get(deployment)
        if known is None or now - known.made_at >= CATALOGUE_LIFETIME_S:
            known = self._make(deployment, now, known)
            self._shelves_by_deployment[deployment] = known
        return known

    def _make(
        self,
        deployment: str,
        now: float,
        known: _Shelf | None,
    ) -> _Shelf:
        by_domain: dict[str, list[GroupRecord]] = {}
        for group in self.directory.of_deployment(deployment):
            by_domain.setdefault(group.failure_domain, []).append(group)
        before = known.pools if known else {}
        due = self._due(sorted(by_domain)) if before else by_domain.keys()
        pools = {
            key: pool
            for key, pool in before.items()
            if key[1] in by_domain and key[1] not in due
        }
        for domain in due & by_domain.keys():
            pools.update(self._pools_of(by_domain[domain], before))
        return _Shelf(now, pools)

    def _due(self, domains: Sequence[str]) -> Collection[str]:
        # Groups of other failure domains are looked at in turn: there may be
        # many, and few requests go there.
        self._turn += 1
        in_turn = domains[self._turn % len(domains)] if domains else ''
        return {self.failure_domain, in_turn}

    def _pools_of(
        self,
        groups: Iterable[GroupRecord],
        before: Mapping[PoolKey, Pool],
    ) -> Mapping[PoolKey, Pool]:
        found: dict[PoolKey, list[GroupRecord]] = {}
        for group in groups:
            if self.evidence.is_serving(group):
                key = (group.model_version, group.failure_domain)
                found.setdefault(key, []).append(group)
        return {
            key: _renew(before.get(key), listed)
            for key, listed in found.items()
        }


def _renew(known: Pool | None, groups: Sequence[GroupRecord]) -> Pool:
    # The ring is the dear part; it stays while the groups stay.
    if known is not None and known.groups == groups:
        return known
    return make_pool(groups)
