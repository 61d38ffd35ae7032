"""Charges the retry budgets for what this VM sends once more."""

from collections.abc import Callable
from dataclasses import asdict, dataclass, field

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from .call import Call
from .retrybudget import RetryBudget, RetryBudgets


@dataclass(slots=True)
class RetryCharger:
    """Charges the retry budget of a service for retries of its requests.

    Explanation
    ===========
    An attempt is a retry if one before it reached an engine. It is reserved
    when it is decided on, and charged when it is sent.

    Parameters
    ==========
    count_vms : Callable
        Returns among how many VMs the site's budget is divided.
    """

    budgets: RetryBudgets
    clock: Clock
    count_vms: Callable[[], int]
    log: DecisionLog
    metrics: Metrics
    _started_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Note when this process started."""
        self._started_at = self.clock.monotonic()

    def record_request(self, call: Call) -> None:
        """Count a caller's request, which raises the budget."""
        self._budget(call).record_request(self.clock.monotonic())

    def try_reserve(self, call: Call) -> bool:
        """Return whether a retry is reserved, now or before."""
        state = call.retry_state
        if not state.is_retry_reserved:
            state.is_retry_reserved = self._budget(call).try_reserve(
                self.clock.monotonic(), self.count_vms()
            )
            self._note_denial(call)
        return state.is_retry_reserved

    def try_send(self, call: Call) -> bool:
        """Return whether an attempt may be sent, and charge a retry for it."""
        state = call.retry_state
        if not state.is_retry_reserved:
            return True
        now = self.clock.monotonic()
        state.is_retry_reserved = False
        is_charged = self._budget(call).try_spend(now, self.count_vms())
        state.retry_sent_at = now if is_charged else None
        self._note(call, 'retry_charged' if is_charged else 'retry_denied')
        return is_charged

    def note_not_arrived(self, call: Call) -> None:
        """Take back the charge of a retry that reached no engine."""
        state = call.retry_state
        if state.retry_sent_at is not None:
            self._budget(call).reclaim(state.retry_sent_at)
            state.retry_sent_at = None
            state.is_retry_reserved = True

    def release(self, call: Call) -> None:
        """End the reservation of a request that ended."""
        if call.retry_state.is_retry_reserved:
            call.retry_state.is_retry_reserved = False
            self._budget(call).release()

    def _note_denial(self, call: Call) -> None:
        """Log a denial, once: a stream that can't move asks again and again."""
        state = call.retry_state
        if not (state.is_retry_reserved or state.is_denial_noted):
            state.is_denial_noted = True
            self._note(call, 'retry_denied')

    def _note(self, call: Call, decision: str) -> None:
        """Log what a decision on a retry rests on."""
        now = self.clock.monotonic()
        service = call.destination.service.name
        self.metrics.count(decision, service=service)
        self.log.note(
            decision,
            request=call.metadata.attempt_id,
            service=service,
            vms=self.count_vms(),
            process_age_s=round(now - self._started_at, 2),
            **asdict(self._budget(call).state(now)),
        )

    def _budget(self, call: Call) -> RetryBudget:
        return self.budgets.for_service(call.destination.service.name)
