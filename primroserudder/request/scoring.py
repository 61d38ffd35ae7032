"""Estimates the time to first token of a request at a group."""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..process.engines import EngineLoad, EngineStatus
from ..process.evidence import EvidenceBook
from ..process.groups import GroupRecord
from .blocks import BLOCK_WORDS, block_hashes
from .caller import CallerRequest
from .load import REPORT_LAG_S, GroupLoad
from .outliers import OutlierDetector
from .prefixes import PrefixIndex

MAX_BLOCKS = 512
RECENT_FAMILIES = 512
FULL_PENALTY_S = 1.0
SHARE_SMOOTHING = 0.02


@dataclass(frozen=True, slots=True)
class Costs:
    """What work costs at a normal engine; times in seconds."""

    prefill_word_s: float = 0.0001
    token_s: float = 0.01
    queued_tokens: int = 64


@dataclass(frozen=True, slots=True)
class Prompt:
    """What of a prompt decides on its place."""

    words: int
    block_hashes: Sequence[str]


def read_prompt(request: CallerRequest) -> Prompt:
    """Return a request's prompt with the names of its blocks."""
    words = request.prompt.split()
    return Prompt(len(words), block_hashes(words[: MAX_BLOCKS * BLOCK_WORDS]))


@dataclass(slots=True)
class Families:
    """How often prompts begin like one that came lately."""

    share: float = 0
    _recent: dict[str, None] = field(default_factory=dict)

    def note(self, prompt: Prompt) -> None:
        """Take a prompt into account."""
        if not prompt.block_hashes:
            return
        name = prompt.block_hashes[0]
        is_known = name in self._recent
        self.share += SHARE_SMOOTHING * (is_known - self.share)
        self._recent[name] = None
        if len(self._recent) > RECENT_FAMILIES:
            self._recent.pop(next(iter(self._recent)))


@dataclass(slots=True)
class Scorer:
    """What an entry knows of the groups, and what it makes of it."""

    evidence: EvidenceBook
    costs: Costs = field(default_factory=Costs)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    outliers: OutlierDetector = field(default_factory=OutlierDetector)
    load_by_group: dict[str, GroupLoad] = field(default_factory=dict)
    _generations: dict[str, int] = field(default_factory=dict)

    def load(self, group: GroupRecord) -> GroupLoad:
        """Return the load of a group with its newest report."""
        if self._generations.get(group.group_id) != group.generation:
            self._begin(group)
        load = self.load_by_group[group.group_id]
        evidence = self.evidence.evidence(group.leader.vm_id)
        if evidence is not None and isinstance(
            evidence.observation, EngineStatus
        ):
            load.report(
                evidence.observation.load, evidence.seen_at - REPORT_LAG_S
            )
        return load

    def note_response(self, group: GroupRecord, load: EngineLoad) -> None:
        """Take over a load that came with a response."""
        self.load(group).report(load, self.evidence.clock.monotonic())

    def uncached_words(self, group: GroupRecord, prompt: Prompt) -> int:
        """Return how many words the group must prefill."""
        depth = self.prefixes.depth(group.group_id, prompt.block_hashes)
        return prompt.words - depth * BLOCK_WORDS

    def waiting_words(self, group: GroupRecord, now: float) -> float:
        """Return how many words are before a request at a group."""
        word_s = self.costs.prefill_word_s
        return self.load(group).words(now, word_s)

    def seconds(self, group: GroupRecord, words: float, now: float) -> float:
        """Return the estimated time to first token.

        Parameters
        ==========
        group : GroupRecord
            Where the request would go.
        words : float
            Words to prefill before it: those that wait there and those of
            its prompt that are not cached there.
        now : float
            The time of the process's clock.
        """
        load = self.load(group)
        slots = max(1, load.reported.slots)
        per_token = self.outliers.median(now) or self.costs.token_s
        prefill = words * self.costs.prefill_word_s
        is_full = load.is_known and load.in_flight >= slots
        beyond = load.waiting + 1 if is_full else 0
        queue = beyond / slots * self.costs.queued_tokens * per_token
        if is_full:
            # Waiting belongs to the entry, where the order is fair.
            queue += FULL_PENALTY_S
        factor = self.outliers.factor(group.group_id, now)
        return (prefill + queue) * factor

    def utilisation(self, groups: Iterable[GroupRecord]) -> float:
        """Return the share of the groups' slots that is taken."""
        loads = [self.load(group) for group in groups]
        slots = sum(load.reported.slots for load in loads)
        return sum(load.in_flight for load in loads) / max(1, slots)

    def keep_only(self, group_ids: Collection[str]) -> None:
        """Drop groups that are gone."""
        for group_id in self._generations.keys() - group_ids:
            self._forget(group_id)
            self._generations.pop(group_id)
            self.load_by_group.pop(group_id)

    def dump(self) -> Mapping[str, object]:
        """Return the estimates for the state dump."""
        loads_by_group = {
            group_id: {
                'in_flight': load.in_flight,
                'own': load.own_requests,
                'words': load.own_words,
                'slots': load.reported.slots,
            }
            for group_id, load in self.load_by_group.items()
        }
        now = self.evidence.clock.monotonic()
        return {
            'loads_by_group': loads_by_group,
            'cached_blocks_by_group': self.prefixes.dump(),
            'outliers': self.outliers.dump(now),
        }

    def _begin(self, group: GroupRecord) -> None:
        self._forget(group.group_id)
        self._generations[group.group_id] = group.generation
        self.load_by_group[group.group_id] = GroupLoad()

    def _forget(self, group_id: str) -> None:
        # Another generation begins with empty caches and its own pace.
        self.prefixes.forget(group_id)
        self.outliers.forget(group_id)
