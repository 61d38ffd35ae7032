"""Estimates a request's time to first token at a group."""

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

MAX_PROMPT_BLOCKS = 512
MAX_RECENT_PREFIXES = 512
FULL_PENALTY_S = 1.0
SHARE_SMOOTHING = 0.02


@dataclass(frozen=True, slots=True)
class Costs:
    """Cost model of a normal engine; times in seconds."""

    prefill_word_s: float = 0.0001
    token_s: float = 0.01
    queued_tokens: int = 64


@dataclass(frozen=True, slots=True)
class Prompt:
    """Properties of a prompt that affect routing."""

    words: int
    block_hashes: Sequence[str]


def read_prompt(request: CallerRequest) -> Prompt:
    """Return a request's prompt as word count and block hashes."""
    words = request.prompt.split()
    return Prompt(
        len(words), block_hashes(words[: MAX_PROMPT_BLOCKS * BLOCK_WORDS])
    )


@dataclass(slots=True)
class RepeatedPrefixes:
    """Smoothed share of prompts whose first block occurred recently."""

    share: float = 0
    _recent: dict[str, None] = field(default_factory=dict)

    def note(self, prompt: Prompt) -> None:
        """Update the share with a new prompt."""
        if not prompt.block_hashes:
            return
        first_block = prompt.block_hashes[0]
        is_repeat = first_block in self._recent
        self.share += SHARE_SMOOTHING * (is_repeat - self.share)
        self._recent[first_block] = None
        if len(self._recent) > MAX_RECENT_PREFIXES:
            self._recent.pop(next(iter(self._recent)))


@dataclass(slots=True)
class Scorer:
    """Tracks load, caches and speed of groups and estimates waits."""

    evidence: EvidenceBook
    costs: Costs = field(default_factory=Costs)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    outliers: OutlierDetector = field(default_factory=OutlierDetector)
    load_by_group: dict[str, GroupLoad] = field(default_factory=dict)
    _generation_by_group: dict[str, int] = field(default_factory=dict)

    def load(self, group: GroupRecord) -> GroupLoad:
        """Return the load of a group, updated with its newest report."""
        if self._generation_by_group.get(group.group_id) != group.generation:
            self._start_generation(group)
        load = self.load_by_group[group.group_id]
        evidence = self.evidence.evidence(group.leader.vm_id)
        if evidence is not None and isinstance(
            evidence.observation, EngineStatus
        ):
            load.update(
                evidence.observation.load, evidence.seen_at - REPORT_LAG_S
            )
        return load

    def note_response(self, group: GroupRecord, load: EngineLoad) -> None:
        """Record a load report that came with a response."""
        self.load(group).update(load, self.evidence.clock.monotonic())

    def uncached_words(self, group: GroupRecord, prompt: Prompt) -> int:
        """Return how many words of the prompt the group must prefill."""
        cached_blocks = self.prefixes.cached_prefix_blocks(
            group.group_id, prompt.block_hashes
        )
        return prompt.words - cached_blocks * BLOCK_WORDS

    def waiting_words(self, group: GroupRecord, now: float) -> float:
        """Return how many words a group must prefill before a new request."""
        word_s = self.costs.prefill_word_s
        return self.load(group).pending_words(now, word_s)

    def time_to_first_token(
        self, group: GroupRecord, words: float, now: float
    ) -> float:
        """Return the estimated time to first token in seconds.

        Parameters
        ==========
        group : GroupRecord
            Group that would serve the request.
        words : float
            Words to prefill before the first token: those queued at the
            group and those of the prompt that the group has not cached.
        now : float
            Current time of the process's monotonic clock.
        """
        load = self.load(group)
        slots = max(1, load.reported.slots)
        s_per_token = self.outliers.median(now) or self.costs.token_s
        prefill = words * self.costs.prefill_word_s
        is_full = load.has_report and load.in_flight >= slots
        queue_position = load.waiting + 1 if is_full else 0
        queueing = (
            queue_position / slots * self.costs.queued_tokens * s_per_token
        )
        if is_full:
            # Requests should wait in the entry's queue, which is fair across
            # workspaces, instead of in an engine's queue.
            queueing += FULL_PENALTY_S
        slowdown_factor = self.outliers.slowdown_factor(group.group_id, now)
        return (prefill + queueing) * slowdown_factor

    def utilisation(self, groups: Iterable[GroupRecord]) -> float:
        """Return the groups' requests in flight divided by their slots."""
        loads = [self.load(group) for group in groups]
        slots = sum(load.reported.slots for load in loads)
        return sum(load.in_flight for load in loads) / max(1, slots)

    def keep_only(self, group_ids: Collection[str]) -> None:
        """Drop the state of all groups except the given ones."""
        for group_id in self._generation_by_group.keys() - group_ids:
            self._forget(group_id)
            self._generation_by_group.pop(group_id)
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

    def _start_generation(self, group: GroupRecord) -> None:
        self._forget(group.group_id)
        self._generation_by_group[group.group_id] = group.generation
        self.load_by_group[group.group_id] = GroupLoad()

    def _forget(self, group_id: str) -> None:
        # A new generation starts with empty caches and its own speed.
        self.prefixes.forget(group_id)
        self.outliers.forget(group_id)
