"""Record of whether a request was sent to an upstream and may have run."""

from dataclasses import dataclass, field

from ..errors import Ran, RudderError
from ..process.invariants import Invariants


@dataclass(slots=True)
class DispatchRecord:
    """Tracks whether any byte of a request may have reached an upstream.

    Explanation
    ===========
    This is the only place that determines the ``ran`` value of an error. An
    attempt is opened before its first byte can be sent. It is removed only
    if no connection was made or if the upstream reports that it did not run
    the request. Once the request is closed, no attempt can be opened, so that
    a refused request never runs afterwards.

    Adapters that can detect it call ``note_sent`` before they hand bytes to
    the transport. Such an attempt is never removed for lack of a connection.
    ``has_arrived`` is set by them once an upstream has received the request,
    if only to reject it.
    """

    invariants: Invariants
    request_id: str
    open_attempts: set[int] = field(default_factory=set)
    sent_attempts: set[int] = field(default_factory=set)
    is_closed: bool = False
    has_run: bool = False
    has_arrived: bool = False

    @property
    def ran(self) -> Ran:
        """Return whether the request ran, did not run, or may have run."""
        if self.has_run:
            return Ran.YES
        return Ran.UNKNOWN if self.open_attempts else Ran.NO

    def open(self, attempt: int) -> None:
        """Open an attempt; its bytes may be sent from now on."""
        self._require(not self.is_closed, 'no_run_after_refusal', attempt)
        self.open_attempts.add(attempt)

    def note_sent(self, attempt: int) -> None:
        """Note that bytes of an attempt are handed to the transport."""
        is_open = attempt in self.open_attempts
        self._require(is_open, 'no_byte_outside_an_attempt', attempt)
        self.sent_attempts.add(attempt)

    def note_not_run(self, attempt: int) -> None:
        """Remove an attempt that is proven not to have run."""
        is_sent = attempt in self.sent_attempts
        self._require(not is_sent, 'not_run_means_no_byte_sent', attempt)
        self.open_attempts.discard(attempt)

    def note_refused(self, attempt: int) -> None:
        """Remove an attempt that the upstream reports as not run."""
        self.sent_attempts.discard(attempt)
        self.open_attempts.discard(attempt)

    def note_answer(self) -> None:
        """Note that an upstream began to answer, so that the request ran."""
        is_open = bool(self.open_attempts)
        self._require(is_open, 'no_answer_without_attempt', 0)
        self.has_run = True

    def close(self, error: RudderError) -> RudderError:
        """Close the request and set ``ran`` on its error; return the error."""
        self.is_closed = True
        error.ran = self.ran
        return error

    def _require(self, holds: bool, name: str, attempt: int) -> None:
        detail = f'request {self.request_id} attempt {attempt}'
        self.invariants.require(holds, name, detail)
