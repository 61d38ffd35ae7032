"""Log lines and counts on suspects, at a bounded rate for each of them."""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from ...process.clock import Clock
from ...process.decisions import DecisionLog
from ...process.metrics import Metrics
from ..call import Call
from ..model import Target
from .explaining import Attribution, Incarnation

# Lines on the sends or refusals of one suspect are at least this far apart:
# callers who go on sending would otherwise fill the log.
NOTE_INTERVAL_S = 1.0
MAX_TOPICS = 1000
MAX_ENGINES_IN_LINE = 20


@dataclass(slots=True)
class SuspectLog:
    """Notes refusals, sends of struck suspects and newly quarantined ones."""

    clock: Clock
    log: DecisionLog
    metrics: Metrics
    _causes: Mapping[str, Collection[Incarnation]] = field(
        default_factory=dict,
    )
    _noted_at: OrderedDict[tuple[str, str], float] = field(
        default_factory=OrderedDict,
    )

    def note_refusal(self, call: Call, cause: str) -> None:
        """Note that a request is refused."""
        self.metrics.count('quarantined_requests')
        if self._is_due('refusal_for_crashes', cause):
            self.log.note(
                'refusal_for_crashes',
                suspect=cause,
                request=call.metadata.attempt_id,
            )

    def note_trial(self, call: Call, causes: Collection[str]) -> None:
        """Note that a request runs to try quarantined parts."""
        self.log.note(
            'trial_of_suspects',
            suspects=sorted(causes),
            request=call.metadata.attempt_id,
        )

    def note_send(
        self, call: Call, target: Target, suspect: str, strikes: int
    ) -> None:
        """Note that a suspect with strikes is sent to an engine."""
        self.metrics.count('sends_of_struck_content', strikes=str(strikes))
        if self._is_due('send_of_struck_content', suspect):
            self.log.note(
                'send_of_struck_content',
                suspect=suspect,
                request=call.metadata.attempt_id,
                engine=target.engine_id,
                group=target.group,
                strikes=strikes,
            )

    def note_attribution(self, attribution: Attribution) -> None:
        """Note which suspects were quarantined or cleared since last time."""
        causes = attribution.crashes_by_cause
        for cause in causes.keys() - self._causes.keys():
            engines = sorted({engine for engine, _ in causes[cause]})
            self.metrics.count('quarantines')
            self.log.note(
                'suspect_quarantined',
                suspect=cause,
                crashes=len(causes[cause]),
                engines=engines[:MAX_ENGINES_IN_LINE],
            )
        for cleared in self._causes.keys() - causes.keys():
            self.log.note('suspect_cleared', suspect=cleared)
        self._causes = causes

    def _is_due(self, decision: str, suspect: str) -> bool:
        """Return whether a line on a suspect is due, and take it as written."""
        now = self.clock.monotonic()
        topic = (decision, suspect)
        if now - self._noted_at.get(topic, float('-inf')) < NOTE_INTERVAL_S:
            return False
        self._noted_at[topic] = now
        self._noted_at.move_to_end(topic)
        if len(self._noted_at) > MAX_TOPICS:
            self._noted_at.popitem(last=False)
        return True
