"""Decides whether a stream leaves an engine that seems to be lost.

Explanation
===========
An engine that is silent, or whose group is reported broken, may go on a moment
later. A stream is therefore ended only if another attempt is certain to be
allowed: the route permits one, another target exists, and the retry budget was
charged for it. A stream that can't move waits for its engine.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..process.clock import Clock
from .call import Call
from .model import Target
from .retries import RetryBudget, RetryBudgets
from .target_selector import TargetSelector


@dataclass(slots=True)
class RetryCharger:
    """Charges the retry budget of a service for retries of its requests."""

    budgets: RetryBudgets
    clock: Clock
    count_vms: Callable[[], int]

    def record_request(self, call: Call) -> None:
        """Count a caller's request, which raises the budget."""
        self._budget(call).record_request(self.clock.monotonic())

    def try_pay(self, call: Call) -> bool:
        """Return whether a retry is paid for, now or in advance."""
        if call.retry_state.is_retry_paid:
            return True
        is_paid = self._budget(call).try_spend(
            self.clock.monotonic(), self.count_vms()
        )
        call.retry_state.is_retry_paid = is_paid
        return is_paid

    def _budget(self, call: Call) -> RetryBudget:
        return self.budgets.for_service(call.destination.service.name)


@dataclass(slots=True)
class StreamMoves:
    """Permits streams to leave a target that seems to be lost."""

    selector: TargetSelector
    charger: RetryCharger

    def try_permit(self, call: Call, target: Target) -> bool:
        """Return whether a stream may leave its target for another attempt.

        Explanation
        ===========
        The retry is paid for at once: the streams of a lost engine end
        together, and each of them must be able to go on.
        """
        return (
            call.retry_state.may_leave_attempt(call.remaining_s)
            and self.selector.has_alternative(call, target)
            and self.charger.try_pay(call)
        )
