"""Refuses or re-places requests whose targets were evacuated.

Explanation
===========
Load: a domain is evacuated while hundreds of requests wait for slots, hold
slots that were reserved or granted to them, or arrive. None of them may begin
there, and those that no target is left for must not use up their callers' time.
"""

from dataclasses import dataclass

from ...process.metrics import Metrics
from ..call import Call
from ..model import Target
from ..slotqueues import SlotQueues
from ..target_selector import TargetSelector
from ..waitqueue import RETRY_AFTER_NO_GROUP_S, NoFreeSlot


@dataclass(frozen=True, slots=True)
class EvacuationGuard:
    """Keeps requests from the engines of evacuated failure domains."""

    selector: TargetSelector
    slots: SlotQueues
    metrics: Metrics

    def may_send(self, call: Call, target: Target) -> bool:
        """Return whether a request may go to the target of its slot now.

        Explanation
        ===========
        A slot that was reserved or granted before the failure domain of its
        target was evacuated is given back.
        """
        if self.selector.evacuations.may_send(target):
            return True
        self.slots.release(call, target)
        self.metrics.count('evacuated_requests', effect='replaced')
        return False

    def refusal(self, call: Call) -> NoFreeSlot | None:
        """Return the refusal of a request that evacuations leave no target."""
        if not self.selector.is_evacuated(call):
            return None
        self.metrics.count('evacuated_requests', effect='refused')
        return NoFreeSlot(
            'all targets are in evacuated failure domains',
            retry_after=RETRY_AFTER_NO_GROUP_S,
        )
