"""Refuses contents that crashed several groups, and logs the evidence."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..errors import Ran, RudderError
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from .attempt import AttemptResult
from .call import Call
from .model import Target
from .retries import Ending
from .strikes import StrikeRegistry


class Quarantined(RudderError):
    """Requests with the same content broke several groups."""

    code = 'quarantined'
    status = 503
    ran = Ran.NO
    default_remedy = 'change the request; its content seems to crash engines'


@dataclass(slots=True)
class Quarantine:
    """Counts the crashes of each content and refuses those with too many."""

    log: DecisionLog
    metrics: Metrics
    strikes: StrikeRegistry = field(default_factory=StrikeRegistry)

    def check(self, digest: str) -> None:
        """Raise ``Quarantined`` if a content must not run."""
        if self.strikes.is_quarantined(digest):
            raise Quarantined(f'content {digest} broke several groups')

    def note_send(self, call: Call, target: Target, digest: str) -> None:
        """Log that a content with strikes is sent to an engine."""
        count = self.strikes.count(digest)
        if not count:
            return
        self.metrics.count('sends_of_struck_content', strikes=str(count))
        self.log.note(
            'send_of_struck_content',
            content=digest,
            request=call.metadata.attempt_id,
            engine=target.engine_id,
            group=target.group,
            strikes=count,
        )

    def note_outcome(
        self,
        call: Call,
        target: Target,
        outcome: AttemptResult,
        digest: str,
    ) -> None:
        """Record a strike, or clear the strikes of a content that completed."""
        if outcome.ending is Ending.DELIVERED:
            if self.strikes.count(digest):
                self.log.note('strikes_cleared', content=digest)
            self.strikes.clear(digest)
        elif outcome.may_have_crashed and target.group:
            self.strikes.strike(digest, target.group)
            self.metrics.count('strikes')
            self.log.note(
                'strike',
                content=digest,
                request=call.metadata.attempt_id,
                engine=target.engine_id,
                group=target.group,
                ending=outcome.ending.value,
                reason=outcome.reason,
                count=self.strikes.count(digest),
            )

    def merge(self, source: str, strikes: Iterable[str]) -> None:
        """Merge the strikes that another VM reported."""
        merged = self.strikes.merge(strikes)
        if merged:
            self.log.note('strikes_merged', source=source, strikes=merged)
