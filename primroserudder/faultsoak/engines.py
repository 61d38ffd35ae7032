"""Stand-in engines of the soak that crash, disconnect and reconnect."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from aiohttp import web

from ..standins.groupengine import ATTEMPT_ID, GroupEngine
from ..standins.groupmember import GroupMember
from .links import BOTH_WAYS, Link

# The platform removes an unreachable engine from its list after this time.
LIST_EXPIRY_S = 0.8
# An engine that a content crashed is back after this time.
CONTENT_CRASH_S = 1.0
JOIN_S = 0.3
FORM_S = 0.3
# Responses take long enough for faults to occur while they are sent.
PLAIN_ANSWER_S = 0.1
EVENTS = 12
EVENT_S = 0.03


class Observer(Protocol):
    """Receives the engines' membership changes and runs."""

    def record_membership(self, engine: 'SoakEngine') -> None:
        """Handle a possible change of an engine's membership."""

    def record_run(self, engine: 'SoakEngine', request_id: str) -> None:
        """Handle the start of a request on an engine."""

    def forget_membership(self, engine_id: str) -> None:
        """Discard the membership of an engine that restarts."""


@dataclass(slots=True)
class SoakEngine(GroupEngine):
    """An engine behind a link, registered only while it is reachable."""

    failure_domain: str = ''
    link: Link = field(default_factory=Link)
    observer: Observer | None = None
    has_crashed: bool = False
    _expiry_timers: list[asyncio.TimerHandle] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Set the soak's timings and start without a group."""
        self.join_s = JOIN_S
        self.events = EVENTS
        self.event_s = EVENT_S
        self.end_process = _crash_and_restart
        self.member = self._new_member(())

    def is_reachable(self) -> bool:
        """Return whether the engine runs and its link carries bytes."""
        return not (self.has_crashed or self.link.is_silent())

    def register(self) -> None:
        """Write the engine's entry in the list if the engine is reachable."""
        if self.observer is not None:
            self.observer.record_membership(self)
        if self.is_reachable():
            self.store.rows.put('servers', self.engine_id, self._entry())

    def crash(self) -> None:
        """Stop at once; the list entry expires later."""
        self.has_crashed = True
        self.link.is_refusing = True
        self.link.reset()
        self._schedule_expiry()

    def restart(self) -> None:
        """Start a new incarnation with the same engine id."""
        if not self.has_crashed:
            return
        if self.observer is not None:
            self.observer.forget_membership(self.engine_id)
        self.born += 1
        self.member = self._new_member(self.member.staged)
        self.has_crashed = False
        self.link.is_refusing = False
        self.register()

    def write_entry_again(self) -> None:
        """Write the entry, or let it expire, after the store's restore."""
        self.register()
        self._schedule_expiry()

    def disconnect(self) -> None:
        """Cut off the engine in both directions."""
        self.link.hold(BOTH_WAYS)
        self._schedule_expiry()

    def reconnect(self) -> None:
        """Restore both directions and register again."""
        self.link.release(BOTH_WAYS)
        self.register()

    def break_group(self) -> None:
        """Mark the group as broken after a member was lost for too long."""
        if self.member.group is not None:
            self.member.group = {**self.member.group, 'State': 'broken'}
            self.register()

    def _new_member(self, staged: tuple[str, ...]) -> GroupMember:
        return GroupMember(
            self.engine_id,
            self.register,
            self.join_s,
            staged=staged,
            form_s=FORM_S,
        )

    def _schedule_expiry(self) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(LIST_EXPIRY_S, self._deregister_if_unreachable)
        self._expiry_timers.append(timer)

    def _deregister_if_unreachable(self) -> None:
        if not self.is_reachable():
            self.deregister()

    def _entry(self) -> Mapping[str, object]:
        # super() without arguments fails in a dataclass with slots.
        entry = GroupEngine._entry(self)
        return {**entry, 'Zone': self.failure_domain}

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        if self.is_plain:
            await asyncio.sleep(PLAIN_ANSWER_S)
        return await GroupEngine._answer(self, request)

    def _refusal(self, request: web.Request) -> web.Response | None:
        refusal = GroupEngine._refusal(self, request)
        if refusal is None and self.observer is not None:
            attempt_id = request.headers.get(ATTEMPT_ID, '')
            self.observer.record_run(self, attempt_id)
        return refusal


def _crash_and_restart(engine: GroupEngine) -> None:
    if isinstance(engine, SoakEngine):
        engine.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(CONTENT_CRASH_S, engine.restart)
