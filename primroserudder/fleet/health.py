"""Which targets are avoided for now, and which groups are given up.

Explanation
===========
Answers an engine that refuses connections or fails part of its requests
while its own health check is good, a group whose streams all stand still,
and a failure domain that is cut off from this one.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..process.clock import Clock
from .attempt import NO_CONNECTION, AttemptResult
from .model import Target
from .retries import Ending

AVOID_UNREACHABLE_S = 1.0
AVOID_REFUSING_S = 0.15
FAILURES_TO_AVOID = 2
# Engines of a failure domain that can't be reached, before all are avoided.
UNREACHED_TO_AVOID = 2
CUT_OFF_S = 1.5
MOST_LOST_GROUPS = 500


@dataclass(slots=True)
class TargetHealth:
    """What this VM's own attempts and others' news tell of targets."""

    clock: Clock
    avoided_until: dict[str, float] = field(default_factory=dict)
    failures_by_engine: dict[str, int] = field(default_factory=dict)
    lost_event_by_group: OrderedDict[str, asyncio.Event] = field(
        default_factory=OrderedDict,
    )
    silent_heads: set[str] = field(default_factory=set)
    unreached_by_domain: dict[str, dict[str, float]] = field(
        default_factory=dict,
    )
    unreachable_event_by_head: dict[str, asyncio.Event] = field(
        default_factory=dict
    )

    def avoided(self) -> set[str]:
        """Return the engines that get no new work now."""
        now = self.clock.monotonic()
        timed = {
            engine_id
            for engine_id, until in self.avoided_until.items()
            if until > now
        }
        return timed | self.silent_heads

    def note(self, target: Target, outcome: AttemptResult, now: float) -> None:
        """Take over how an attempt at a target ended."""
        engine_id = target.engine_id
        if outcome.ending is Ending.DELIVERED:
            self.failures_by_engine.pop(engine_id, None)
            self.unreached_by_domain.pop(target.failure_domain, None)
            return
        if outcome.ending is Ending.NOT_RUN:
            self._note_not_run(target, outcome, now)
            return
        failures = self.failures_by_engine.get(engine_id, 0) + 1
        self.failures_by_engine[engine_id] = failures
        if failures >= FAILURES_TO_AVOID:
            self.avoided_until[engine_id] = now + AVOID_UNREACHABLE_S

    def is_domain_avoided(self, failure_domain: str) -> bool:
        """Return whether several engines of a domain can't be reached."""
        now = self.clock.monotonic()
        unreached = self.unreached_by_domain.get(failure_domain, {})
        lately = [at for at in unreached.values() if now - at < CUT_OFF_S]
        return len(lately) >= UNREACHED_TO_AVOID

    def note_unreachable_head(
        self, target_id: str, failure_domain: str
    ) -> None:
        """Give up what runs at a head that can't be reached from here."""
        now = self.clock.monotonic()
        self.avoided_until[target_id] = now + AVOID_UNREACHABLE_S
        self.unreached_by_domain.setdefault(failure_domain, {})[target_id] = now
        running = self.unreachable_event_by_head.pop(target_id, None)
        if running is not None:
            running.set()

    def unreachable_event(self, engine_id: str) -> asyncio.Event:
        """Return what is set once a head can't be reached from here."""
        return self.unreachable_event_by_head.setdefault(
            engine_id, asyncio.Event()
        )

    def lost_event(self, group: str) -> asyncio.Event:
        """Return what is set once a group is known to be broken."""
        known = self.lost_event_by_group.get(group)
        if known is None:
            known = asyncio.Event()
            self.lost_event_by_group[group] = known
        self.lost_event_by_group.move_to_end(group)
        while len(self.lost_event_by_group) > MOST_LOST_GROUPS:
            self.lost_event_by_group.popitem(last=False)
        return known

    def mark_groups_lost(self, groups: Iterable[str]) -> None:
        """Give up the streams of groups that are broken."""
        for group in groups:
            self.lost_event(group).set()

    def _note_not_run(
        self,
        target: Target,
        outcome: AttemptResult,
        now: float,
    ) -> None:
        if outcome.reason == NO_CONNECTION:
            unreached = self.unreached_by_domain.setdefault(
                target.failure_domain, {}
            )
            unreached[target.engine_id] = now
            pause = AVOID_UNREACHABLE_S
        else:
            pause = AVOID_REFUSING_S
        self.avoided_until[target.engine_id] = now + pause
