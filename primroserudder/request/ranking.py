"""Ranks a few groups by what a request would wait for at each."""

import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from operator import itemgetter

from ..process.groups import GroupRecord
from .caller import CallerRequest
from .catalogue import Catalogue, Pool
from .scoring import Families, Prompt, Scorer
from .spill import SpillOver

SCORE_ALL_UP_TO = 16
SAMPLE = 8
HOMES = 2
SPILL_TARGETS = 2
SPILL_PENALTY_S = 0.02
EJECTED_PENALTY_S = 1000.0
HOME_DISCOUNT = 0.5


@dataclass(slots=True)
class Ranker:
    """Scores the candidates of a decision; their number is bounded."""

    failure_domain: str
    scorer: Scorer
    catalogue: Catalogue
    spill: SpillOver
    rng: random.Random
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
        own = pools.get(self.failure_domain)
        seconds_by_group: dict[str, tuple[float, GroupRecord]] = {}
        if own is not None:
            self._score(own, prompt, now, 0, seconds_by_group)
        if self.spill.is_spilling(deployment, pools, now):
            targets = self.spill.targets(deployment, pools, now)
            for pool in targets[:SPILL_TARGETS]:
                penalty = SPILL_PENALTY_S
                self._score(pool, prompt, now, penalty, seconds_by_group)
        ranked = sorted(seconds_by_group.values(), key=itemgetter(0))
        return [group for _, group in ranked]

    def _score(
        self,
        pool: Pool,
        prompt: Prompt,
        now: float,
        penalty: float,
        seconds_by_group: dict[str, tuple[float, GroupRecord]],
    ) -> None:
        scorer = self.scorer
        homes = self._homes(pool, prompt)
        for group in self._candidates(pool, prompt, homes):
            words = float(scorer.uncached_words(group, prompt))
            if group.group_id in homes and words == prompt.words:
                words *= 1 - HOME_DISCOUNT * self.families.share
            seconds = scorer.seconds(group, words, now) + penalty
            if scorer.outliers.is_ejected(group.group_id, now):
                seconds += EJECTED_PENALTY_S
            seconds_by_group[group.group_id] = (seconds, group)

    def _homes(self, pool: Pool, prompt: Prompt) -> Collection[str]:
        if not prompt.names:
            return ()
        homes = pool.homes(prompt.names[0], HOMES)
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
        named = (*homes, *self.scorer.prefixes.holders(prompt.names))
        chosen = {group.group_id: group for group in sampled}
        chosen.update({name: by_id[name] for name in named if name in by_id})
        return chosen.values()
