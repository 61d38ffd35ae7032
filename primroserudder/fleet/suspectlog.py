"""Log lines and counts on suspects, at a bounded rate for each of them."""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from .call import Call
from .explaining import Incarnation, Verdict
from .model import Target

# Lines on the sends or refusals of one suspect are at least this far apart:
# callers who go on sending would otherwise fill the log.
NOTE_INTERVAL_S = 1.0
MAX_TOPICS = 1000
MAX_ENGINES_IN_LINE = 20


@dataclass(slots=True)
class SuspectLog:
    """Notes refusals, sends of struck suspects, and changes of the verdict."""

    clock: Clock
    log: DecisionLog
    metrics: Metrics
    _convicts: Mapping[str, Collection[Incarnation]] = field(
        default_factory=dict,
    )
    _noted_at: OrderedDict[tuple[str, str], float] = field(
        default_factory=OrderedDict,
    )

    def note_refusal(self, call: Call, convict: str) -> None:
        """Note that a request is refused."""
        self.metrics.count('quarantined_requests')
        if self._is_due('refusal_for_crashes', convict):
            self.log.note(
                'refusal_for_crashes',
                suspect=convict,
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

    def note_verdict(self, verdict: Verdict) -> None:
        """Note which suspects were convicted or acquitted since last time."""
        convicts = verdict.crashes_by_convict
        for convict in convicts.keys() - self._convicts.keys():
            engines = sorted({engine for engine, _ in convicts[convict]})
            self.metrics.count('convictions')
            self.log.note(
                'suspect_convicted',
                suspect=convict,
                crashes=len(convicts[convict]),
                engines=engines[:MAX_ENGINES_IN_LINE],
            )
        for acquitted in self._convicts.keys() - convicts.keys():
            self.log.note('suspect_acquitted', suspect=acquitted)
        self._convicts = convicts

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
