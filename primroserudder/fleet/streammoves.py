"""Decides whether a stream leaves an engine that seems to be lost.

Explanation
===========
An engine that is silent, or whose group is reported broken, may go on a moment
later. A stream is therefore ended only once another attempt is secured: the
route permits one, and a slot elsewhere and a retry of the budget are reserved.
A stream that can't move waits for its engine.
"""

import asyncio
from dataclasses import dataclass
from functools import partial

from ..process.loops import cancel_on_exit
from .attempt import AttemptResult
from .call import Call
from .crashes.quarantine import NO_ANSWER, Quarantine
from .model import Target
from .retrycharger import RetryCharger
from .slotqueues import SlotQueues
from .target_selector import TargetSelector

# A stream that finds no slot within this time looks again a moment later, if
# its target still seems lost.
SLOT_WAIT_S = 0.25


@dataclass(slots=True)
class StreamMoves:
    """Lets streams leave a target that seems to be lost."""

    selector: TargetSelector
    charger: RetryCharger
    slots: SlotQueues
    quarantine: Quarantine

    def note_loss(
        self, call: Call, target: Target, *, is_unreachable: bool
    ) -> None:
        """Note that a stream's target seems lost, whether or not it leaves."""
        reason = NO_ANSWER if is_unreachable else ''
        self.quarantine.note_abandoned(call, target, reason)

    async def try_reserve(
        self, call: Call, target: Target, running: asyncio.Task[AttemptResult]
    ) -> bool:
        """Reserve what a stream needs for another attempt.

        Explanation
        ===========
        Returns whether it has a slot elsewhere and a retry is reserved. The
        streams of a lost engine end together, and each must be able to go on.
        """
        if not self._may_leave(call):
            return False
        chosen = await self._wait_for_slot(call, target, running)
        if chosen is None:
            return False
        is_allowed = (
            not running.done()
            and self._may_leave(call)
            and self.selector.evacuations.may_send(chosen)
        )
        if not is_allowed or not self.charger.try_reserve(call):
            self.slots.release(call, chosen)
            return False
        call.reserved_target = chosen
        return True

    def _may_leave(self, call: Call) -> bool:
        if call.is_caller_blocked():
            # Another engine would run for a caller that doesn't read.
            return False
        is_retry_allowed = call.retry_state.may_leave_attempt(call.remaining_s)
        return is_retry_allowed and not self.quarantine.is_refused(call)

    async def _wait_for_slot(
        self, call: Call, target: Target, running: asyncio.Task[AttemptResult]
    ) -> Target | None:
        """Return a target with a slot, ``None`` if none is free in time."""
        find = partial(self.selector.find, call, target.engine_id)
        with call.leaving_attempt():
            slot = asyncio.ensure_future(
                self.slots.acquire(call, find, SLOT_WAIT_S)
            )
            async with cancel_on_exit(slot):
                await asyncio.wait(
                    (running, slot), return_when=asyncio.FIRST_COMPLETED
                )
        if slot.cancelled() or slot.exception() is not None:
            return None
        return slot.result()
