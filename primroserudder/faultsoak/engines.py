"""Engines of the soak: stand-ins that crash, go dark and come back."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from aiohttp import web

from ..standins.groupengine import ATTEMPT_ID, GroupEngine
from ..standins.groupmember import GroupMember
from .links import BOTH_WAYS, Link

# The platform takes a silent engine from its list after this time.
UNLISTED_AFTER_S = 0.8
JOIN_S = 0.3
FORM_S = 0.3
# Answers take long enough for faults to strike in their midst.
PLAIN_ANSWER_S = 0.1
EVENTS = 12
EVENT_S = 0.03


class Observer(Protocol):
    """Whoever judges what engines do."""

    def note_change(self, engine: 'SoakEngine') -> None:
        """Note that a membership may have changed."""

    def note_run(self, engine: 'SoakEngine', request_id: str) -> None:
        """Note that an engine begins to run a request."""

    def forget(self, engine_id: str) -> None:
        """Note that an engine's life ended."""


@dataclass(slots=True)
class SoakEngine(GroupEngine):
    """An engine behind a link; it lists itself only while it is in touch."""

    failure_domain: str = ''
    link: Link = field(default_factory=Link)
    observer: Observer | None = None
    is_dead: bool = False
    _expiries: list[asyncio.TimerHandle] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Begin without a group, at the soak's pace."""
        self.join_s = JOIN_S
        self.events = EVENTS
        self.event_s = EVENT_S
        self.member = self._new_member(())

    def is_in_touch(self) -> bool:
        """Return whether the engine lives and the network reaches it."""
        return not (self.is_dead or self.link.is_silent())

    def register(self) -> None:
        """Write the own entry of the list, if the platform is in reach."""
        if self.observer is not None:
            self.observer.note_change(self)
        if self.is_in_touch():
            self.store.rows.put('servers', self.engine_id, self._entry())

    def crash(self) -> None:
        """End at once; the list shows it later."""
        self.is_dead = True
        self.link.is_refusing = True
        self.link.reset()
        self._expire()

    def restart(self) -> None:
        """Begin another life under the same name."""
        if not self.is_dead:
            return
        if self.observer is not None:
            self.observer.forget(self.engine_id)
        self.born += 1
        self.member = self._new_member(self.member.staged)
        self.is_dead = False
        self.link.is_refusing = False
        self.register()

    def go_dark(self) -> None:
        """Be cut off from everything."""
        self.link.hold(BOTH_WAYS)
        self._expire()

    def come_back(self) -> None:
        """Be in touch again."""
        self.link.release(BOTH_WAYS)
        self.register()

    def break_group(self) -> None:
        """Give up the group after a member was lost for too long."""
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

    def _expire(self) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(UNLISTED_AFTER_S, self._be_unlisted)
        self._expiries.append(timer)

    def _be_unlisted(self) -> None:
        if not self.is_in_touch():
            self.deregister()

    def _entry(self) -> Mapping[str, object]:
        # Slots of a dataclass leave no cell for a bare super().
        said = GroupEngine._entry(self)
        return {**said, 'Zone': self.failure_domain}

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        if self.is_plain:
            await asyncio.sleep(PLAIN_ANSWER_S)
        return await GroupEngine._answer(self, request)

    def _refusal(self, request: web.Request) -> web.Response | None:
        refusal = GroupEngine._refusal(self, request)
        if refusal is None and self.observer is not None:
            attempt_id = request.headers.get(ATTEMPT_ID, '')
            self.observer.note_run(self, attempt_id)
        return refusal
