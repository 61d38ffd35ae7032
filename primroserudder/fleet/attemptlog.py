"""Logs and counts how attempts ended that were not the last or were broken."""

from dataclasses import dataclass

from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from .attempt import AttemptResult
from .call import Call
from .model import Target


@dataclass(frozen=True, slots=True)
class AttemptLog:
    """Writes lines about single attempts."""

    log: DecisionLog
    metrics: Metrics

    def note_retry(
        self, call: Call, target: Target, outcome: AttemptResult
    ) -> None:
        """Note that another attempt follows this one."""
        self.metrics.count('repeats', ending=outcome.ending.value)
        self.log.note(
            'repeat',
            request=call.metadata.attempt_id,
            engine=target.engine_id,
            group=target.group,
            ending=outcome.ending.value,
            reason=outcome.reason,
            runs=call.retry_state.runs,
            last_event=call.last_event_id,
        )

    def note_broken(
        self, call: Call, target: Target, outcome: AttemptResult
    ) -> None:
        """Note that an engine sent what is no response, and why it is none."""
        self.metrics.count('broken_responses')
        self.log.note(
            'broken_response',
            request=call.metadata.attempt_id,
            engine=target.engine_id,
            group=target.group,
            ending=outcome.ending.value,
            reason=outcome.reason,
        )
