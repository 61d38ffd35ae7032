"""Ranks a few groups by what a request would wait for at each."""

import random
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ..process.groups import GroupRecord
from .caller import CallerRequest
from .catalogue import NO_GROUPS, Catalogue, Pool
from .scoring import FULL_PENALTY_S, Families, Prompt, Scorer
from .spill import SpillOver
from .subset import Subset

SCORE_ALL_UP_TO = 16
SAMPLE = 8
HOMES = 2
OWN = 4
SPILL_TARGETS = 2
SPILL_PENALTY_S = 0.02
EJECTED_PENALTY_S = 1000.0
TIE_S = 0.01
NEARLY_FULL = 0.85
HOME_DISCOUNT = 0.5


class _Scored(NamedTuple):
    """A group, what a request would wait there, and its last request."""

    seconds: float
    is_foreign: bool
    running: int
    sent_at: float
    group: GroupRecord

    def rank(self) -> tuple[int, bool, int, float]:
        """Return the key of the ranking; the least is the best.

        Explanation
        ===========
        The estimate is no better than ``TIE_S``. Among equals the turn goes
        to the groups that this entry prefers, and of them to the one that
        waited longest for a request of this entry.
        """
        tied = round(self.seconds / TIE_S)
        return tied, self.is_foreign, self.running, self.sent_at


@dataclass(slots=True)
class Ranker:
    """Scores the candidates of a decision; their number is bounded."""

    failure_domain: str
    scorer: Scorer
    catalogue: Catalogue
    spill: SpillOver
    rng: random.Random
    subset: Subset
    families: Families = field(default_factory=Families)

    def rank(
        self,
        request: CallerRequest,
        prompt: Prompt,
        version: str,
        now: float,
    ) -> Sequence[GroupRecord]:
        """Return a few groups, the best first."""
        deployment = request.service.deployment
        pools = self.catalogue.pools(deployment, version, now)
        scored = list(self._score(self._own(pools), prompt, now))
        if self.spill.is_spilling(deployment, pools, now):
            targets = self.spill.targets(deployment, pools, now)
            for pool in targets[:SPILL_TARGETS]:
                scored.extend(self._score(pool, prompt, now, SPILL_PENALTY_S))
        return [each.group for each in sorted(scored, key=_Scored.rank)]

    def _own(self, pools: Mapping[str, Pool]) -> Pool:
        return pools.get(self.failure_domain) or NO_GROUPS

    def _score(
        self,
        pool: Pool,
        prompt: Prompt,
        now: float,
        penalty: float = 0,
    ) -> Iterator['_Scored']:
        scorer = self.scorer
        homes = self._homes(pool, prompt)
        is_full = self._is_own_part_full(pool)
        for group in self._candidates(pool, prompt, homes):
            words = float(scorer.uncached_words(group, prompt))
            if group.group_id in homes and words == prompt.words:
                words *= 1 - HOME_DISCOUNT * self.families.share
            is_foreign = group.group_id not in self.subset.preferred
            words += scorer.waiting_words(group, now)
            seconds = scorer.seconds(group, words, now) + penalty
            if is_foreign and is_full:
                seconds += FULL_PENALTY_S
            if scorer.outliers.is_ejected(group.group_id, now):
                seconds += EJECTED_PENALTY_S
            load = scorer.load(group)
            # Reports are too old to tell idle groups apart; near the limit
            # this entry's own counts decide where a slot is free.
            running = load.in_flight if is_full else 0
            yield _Scored(seconds, is_foreign, running, load.sent_at, group)

    def _is_own_part_full(self, pool: Pool) -> bool:
        # What other entries sent to their groups lately can't be seen. Those
        # groups are taken to be as full as the ones that this entry prefers.
        if not pool.groups:
            return False
        own = self.subset.by_deployment.get(pool.groups[0].deployment, ())
        return self.scorer.utilisation(own[:OWN]) > NEARLY_FULL

    def _homes(self, pool: Pool, prompt: Prompt) -> Collection[str]:
        if not prompt.block_hashes or not pool.groups:
            return ()
        homes = pool.homes(prompt.block_hashes[0], HOMES)
        return {group.group_id for group in homes}

    def _candidates(
        self,
        pool: Pool,
        prompt: Prompt,
        homes: Collection[str],
    ) -> Iterable[GroupRecord]:
        if len(pool.groups) <= SCORE_ALL_UP_TO:
            return self.rng.sample(pool.groups, len(pool.groups))
        by_id = pool.by_id
        sampled = self.rng.sample(pool.groups, SAMPLE)
        named = (*homes, *self.scorer.prefixes.holders(prompt.block_hashes))
        chosen = {group.group_id: group for group in sampled}
        own = self.subset.by_deployment.get(sampled[0].deployment, ())
        named = (*named, *[group.group_id for group in own[:OWN]])
        chosen.update({name: by_id[name] for name in named if name in by_id})
        return chosen.values()
