"""Ranks candidate groups by a request's estimated wait at each."""

import random
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ..process.groups import GroupRecord
from .caller import CallerRequest
from .catalogue import EMPTY_POOL, Catalogue, Pool
from .scoring import FULL_PENALTY_S, Prompt, RepeatedPrefixes, Scorer
from .spill import SpillOver
from .subset import Subset

SCORE_ALL_UP_TO = 16
SAMPLED_CANDIDATES = 8
HOME_CANDIDATES = 2
PREFERRED_CANDIDATES = 4
SPILL_TARGETS = 2
SPILL_PENALTY_S = 0.02
EJECTED_PENALTY_S = 1000.0
TIE_RESOLUTION_S = 0.01
NEARLY_FULL_UTILISATION = 0.85
HOME_DISCOUNT = 0.5


class _Scored(NamedTuple):
    """Group with its score: time to first token and penalties, in seconds."""

    score_s: float
    is_not_preferred: bool
    in_flight: int
    last_sent_at: float
    group: GroupRecord

    def rank(self) -> tuple[int, bool, int, float]:
        """Return the sort key of the ranking; the lowest is the best.

        Explanation
        ===========
        The estimate is no more exact than ``TIE_RESOLUTION_S``, so groups
        within it are tied. Ties are broken in favour of the groups that this
        entry prefers, then of fewer requests in flight, then of the group to
        which this entry has sent no request for the longest time.
        """
        rounded = round(self.score_s / TIE_RESOLUTION_S)
        return rounded, self.is_not_preferred, self.in_flight, self.last_sent_at


@dataclass(slots=True)
class Ranker:
    """Scores a bounded number of candidate groups for each decision."""

    failure_domain: str
    scorer: Scorer
    catalogue: Catalogue
    spill: SpillOver
    rng: random.Random
    subset: Subset
    repeated_prefixes: RepeatedPrefixes = field(
        default_factory=RepeatedPrefixes
    )

    def rank(
        self,
        request: CallerRequest,
        prompt: Prompt,
        version: str,
        now: float,
    ) -> Sequence[GroupRecord]:
        """Return the candidate groups, the best first."""
        deployment = request.service.deployment
        pools = self.catalogue.pools(deployment, version, now)
        scored = list(self._score(self._own_pool(pools), prompt, now))
        if self.spill.is_spilling(deployment, pools, now):
            targets = self.spill.targets(deployment, pools, now)
            for pool in targets[:SPILL_TARGETS]:
                scored.extend(self._score(pool, prompt, now, SPILL_PENALTY_S))
        return [
            candidate.group for candidate in sorted(scored, key=_Scored.rank)
        ]

    def _own_pool(self, pools: Mapping[str, Pool]) -> Pool:
        return pools.get(self.failure_domain) or EMPTY_POOL

    def _score(
        self,
        pool: Pool,
        prompt: Prompt,
        now: float,
        penalty: float = 0,
    ) -> Iterator['_Scored']:
        scorer = self.scorer
        home_ids = self._home_ids(pool, prompt)
        is_full = self._are_preferred_groups_full(pool)
        for group in self._candidates(pool, prompt, home_ids):
            words = float(scorer.uncached_words(group, prompt))
            if group.group_id in home_ids and words == prompt.words:
                words *= 1 - HOME_DISCOUNT * self.repeated_prefixes.share
            is_not_preferred = group.group_id not in self.subset.preferred
            words += scorer.waiting_words(group, now)
            score_s = scorer.time_to_first_token(group, words, now) + penalty
            if is_not_preferred and is_full:
                score_s += FULL_PENALTY_S
            if scorer.outliers.is_ejected(group.group_id, now):
                score_s += EJECTED_PENALTY_S
            load = scorer.load(group)
            # Load reports are too old to rank idle groups. Near full
            # utilisation, this entry's own counts show where a slot is free.
            in_flight = load.in_flight if is_full else 0
            yield _Scored(
                score_s, is_not_preferred, in_flight, load.last_sent_at, group
            )

    def _are_preferred_groups_full(self, pool: Pool) -> bool:
        # Recent requests of other entries to their preferred groups are not
        # visible here. Those groups are assumed to be as full as the groups
        # that this entry prefers.
        if not pool.groups:
            return False
        preferred = self.subset.by_deployment.get(pool.groups[0].deployment, ())
        return (
            self.scorer.utilisation(preferred[:PREFERRED_CANDIDATES])
            > NEARLY_FULL_UTILISATION
        )

    def _home_ids(self, pool: Pool, prompt: Prompt) -> Collection[str]:
        if not prompt.block_hashes or not pool.groups:
            return ()
        home_groups = pool.home_groups(prompt.block_hashes[0], HOME_CANDIDATES)
        return {group.group_id for group in home_groups}

    def _candidates(
        self,
        pool: Pool,
        prompt: Prompt,
        home_ids: Collection[str],
    ) -> Iterable[GroupRecord]:
        if len(pool.groups) <= SCORE_ALL_UP_TO:
            return self.rng.sample(pool.groups, len(pool.groups))
        by_id = pool.by_id
        sampled = self.rng.sample(pool.groups, SAMPLED_CANDIDATES)
        extra_ids = (
            *home_ids,
            *self.scorer.prefixes.holders(prompt.block_hashes),
        )
        chosen = {group.group_id: group for group in sampled}
        preferred = self.subset.by_deployment.get(sampled[0].deployment, ())
        extra_ids = (
            *extra_ids,
            *[group.group_id for group in preferred[:PREFERRED_CANDIDATES]],
        )
        chosen.update(
            {
                group_id: by_id[group_id]
                for group_id in extra_ids
                if group_id in by_id
            }
        )
        return chosen.values()
