"""Passive health checks: targets to avoid for now, and lost groups.

Explanation
===========
Handles an engine that refuses connections or fails some requests although
its own health check passes, a group whose streams have all stalled, and a
failure domain that is unreachable from this one.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..process.clock import Clock
from .attempt import AttemptResult
from .membership import short_key
from .model import Target
from .retries import NEVER_RUN, Ending

AVOID_UNREACHABLE_S = 1.0
AVOID_REFUSING_S = 0.15
FAILURES_TO_AVOID = 2
# An engine that goes on to send broken responses is avoided for longer.
MAX_AVOID_BROKEN_S = 4.0
# With this many unreachable engines, the whole failure domain is avoided.
UNREACHABLE_ENGINES_TO_AVOID_DOMAIN = 2
# An engine counts as unreachable this long after a failed connection.
UNREACHABLE_MEMORY_S = 1.5
MAX_LOST_GROUPS = 500


@dataclass(slots=True)
class TargetHealth:
    """Health of targets, from this VM's attempts and from other VMs."""

    clock: Clock
    avoided_until: dict[str, float] = field(default_factory=dict)
    failures_by_engine: dict[str, int] = field(default_factory=dict)
    avoided_s_by_engine: dict[str, float] = field(default_factory=dict)
    lost_event_by_group: OrderedDict[int, asyncio.Event] = field(
        default_factory=OrderedDict,
    )
    silent_heads: set[str] = field(default_factory=set)
    backing_off_until: dict[tuple[str, int], float] = field(
        default_factory=dict
    )
    unreachable_at_by_domain: dict[str, dict[str, float]] = field(
        default_factory=dict,
    )
    unreachable_event_by_head: dict[str, asyncio.Event] = field(
        default_factory=dict
    )

    def is_usable(self, target: Target) -> bool:
        """Return whether a target may get new requests now."""
        return not (
            target.engine_id in self.silent_heads
            or self._is_avoided(target.engine_id)
            or self.back_off_s(target)
        )

    def cut_off_domains(self) -> set[str]:
        """Return the domains of which several engines are unreachable."""
        return {
            domain
            for domain in self.unreachable_at_by_domain
            if self.is_domain_avoided(domain)
        }

    def note(self, target: Target, outcome: AttemptResult, now: float) -> None:
        """Record the result of an attempt at a target."""
        engine_id = target.engine_id
        if outcome.ending is Ending.DELIVERED:
            self.failures_by_engine.pop(engine_id, None)
            self.avoided_s_by_engine.pop(engine_id, None)
            self.unreachable_at_by_domain.pop(target.failure_domain, None)
            return
        if outcome.ending in NEVER_RUN:
            self._note_not_run(target, outcome, now)
            return
        failures = self.failures_by_engine.get(engine_id, 0) + 1
        self.failures_by_engine[engine_id] = failures
        if failures >= FAILURES_TO_AVOID and outcome.is_broken:
            self._avoid_broken(engine_id, now)
        elif failures >= FAILURES_TO_AVOID:
            self.avoided_until[engine_id] = now + AVOID_UNREACHABLE_S

    def note_back_off(self, target: Target, seconds: float) -> None:
        """Send no request to a target's incarnation for some seconds."""
        now = self.clock.monotonic()
        incarnation = target.engine_id, target.born_ms
        known_until = self.backing_off_until.get(incarnation, 0)
        still_current = {
            other: until
            for other, until in self.backing_off_until.items()
            if until > now
        }
        self.backing_off_until = {
            **still_current,
            incarnation: max(now + seconds, known_until),
        }

    def back_off_s(self, target: Target) -> float:
        """Return for how many seconds a target wants no request."""
        if not self.backing_off_until:
            return 0
        until = self.backing_off_until.get(
            (target.engine_id, target.born_ms), 0
        )
        return max(0, until - self.clock.monotonic())

    def is_domain_avoided(self, failure_domain: str) -> bool:
        """Return whether several engines of a domain are unreachable."""
        now = self.clock.monotonic()
        unreachable_at = self.unreachable_at_by_domain.get(failure_domain, {})
        recent = [
            at
            for at in unreachable_at.values()
            if now - at < UNREACHABLE_MEMORY_S
        ]
        return len(recent) >= UNREACHABLE_ENGINES_TO_AVOID_DOMAIN

    def note_unreachable_head(
        self, target_id: str, failure_domain: str
    ) -> None:
        """Cancel the requests that run at a head unreachable from this VM."""
        now = self.clock.monotonic()
        self.avoided_until[target_id] = now + AVOID_UNREACHABLE_S
        self.unreachable_at_by_domain.setdefault(failure_domain, {})[
            target_id
        ] = now
        self.end_streams_at(target_id)

    def end_streams_at(self, target_id: str) -> None:
        """Let the streams that run at a lost target go on elsewhere."""
        running = self.unreachable_event_by_head.pop(target_id, None)
        if running is not None:
            running.set()

    def unreachable_event(self, engine_id: str) -> asyncio.Event:
        """Return an event that is set once an engine is unreachable."""
        return self.unreachable_event_by_head.setdefault(
            engine_id, asyncio.Event()
        )

    def lost_event(self, group: str) -> asyncio.Event:
        """Return an event that is set once a group is reported broken.

        Explanation
        ===========
        Earlier reports don't count: the next lease holder may have found the
        group sound. A group that is still broken is reported again and again.
        """
        group_key = short_key(group)
        event = self.lost_event_by_group.get(group_key)
        if event is not None and event.is_set():
            self.lost_event_by_group.pop(group_key)
        return self._lost_event(group_key)

    def mark_groups_lost(self, group_keys: Iterable[int]) -> None:
        """Set the lost events of broken groups, which ends their streams."""
        for group_key in group_keys:
            self._lost_event(group_key).set()

    def _lost_event(self, group_key: int) -> asyncio.Event:
        event = self.lost_event_by_group.get(group_key)
        if event is None:
            event = asyncio.Event()
            self.lost_event_by_group[group_key] = event
        self.lost_event_by_group.move_to_end(group_key)
        while len(self.lost_event_by_group) > MAX_LOST_GROUPS:
            self.lost_event_by_group.popitem(last=False)
        return event

    def _note_not_run(
        self,
        target: Target,
        outcome: AttemptResult,
        now: float,
    ) -> None:
        if outcome.ending is Ending.NOT_SENT:
            unreachable_at = self.unreachable_at_by_domain.setdefault(
                target.failure_domain, {}
            )
            unreachable_at[target.engine_id] = now
            avoid_s = AVOID_UNREACHABLE_S
        else:
            avoid_s = AVOID_REFUSING_S
        self.avoided_until[target.engine_id] = now + avoid_s

    def _avoid_broken(self, engine_id: str, now: float) -> None:
        """Avoid an engine for longer each time that it was tried again."""
        if self._is_avoided(engine_id):
            # An attempt from before ended later.
            return
        avoid_s = self.avoided_s_by_engine.get(engine_id, 0) * 2
        avoid_s = min(max(avoid_s, AVOID_UNREACHABLE_S), MAX_AVOID_BROKEN_S)
        self.avoided_s_by_engine[engine_id] = avoid_s
        self.avoided_until[engine_id] = now + avoid_s

    def _is_avoided(self, engine_id: str) -> bool:
        until = self.avoided_until.get(engine_id)
        return until is not None and until > self.clock.monotonic()
