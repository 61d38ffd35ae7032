"""The passage of a request from "not sent" to "may have run"."""

from dataclasses import dataclass, field

from ..errors import Ran, RudderError
from ..process.invariants import Invariants


@dataclass(slots=True)
class DispatchRecord:
    """Knows whether any byte of a request may have reached an upstream.

    Explanation
    ===========
    This is the one place that decides what a caller hears in ``ran``. An
    attempt is opened before its first byte can be sent. It is taken back
    only when no connection was made or when the upstream itself says that
    it did not run the request. Once the request is closed, no attempt can
    be opened, so that a refused request never runs afterwards.

    Adapters that can tell report each byte that they hand to the transport.
    Such an attempt is never taken back for want of a connection.
    """

    invariants: Invariants
    request_id: str
    open_attempts: set[int] = field(default_factory=set)
    sent_attempts: set[int] = field(default_factory=set)
    is_closed: bool = False
    has_run: bool = False

    @property
    def ran(self) -> Ran:
        """Return what is known of the request's effect."""
        if self.has_run:
            return Ran.YES
        return Ran.UNKNOWN if self.open_attempts else Ran.NO

    def open(self, attempt: int) -> None:
        """Note that bytes of an attempt may be sent from now on."""
        self._require(not self.is_closed, 'no_run_after_refusal', attempt)
        self.open_attempts.add(attempt)

    def note_sent(self, attempt: int) -> None:
        """Note that bytes of an attempt are handed to the transport."""
        is_open = attempt in self.open_attempts
        self._require(is_open, 'no_byte_outside_an_attempt', attempt)
        self.sent_attempts.add(attempt)

    def note_not_run(self, attempt: int) -> None:
        """Note proof that an attempt did not run."""
        is_sent = attempt in self.sent_attempts
        self._require(not is_sent, 'not_run_means_no_byte_sent', attempt)
        self.open_attempts.discard(attempt)

    def note_refused(self, attempt: int) -> None:
        """Note that the upstream itself says that it did not run it."""
        self.sent_attempts.discard(attempt)
        self.open_attempts.discard(attempt)

    def note_answer(self) -> None:
        """Note that an upstream has begun to answer."""
        is_open = bool(self.open_attempts)
        self._require(is_open, 'no_answer_without_attempt', 0)
        self.has_run = True

    def close(self, error: RudderError) -> RudderError:
        """End the request with an error and state truly whether it ran."""
        self.is_closed = True
        error.ran = self.ran
        return error

    def _require(self, holds: bool, name: str, attempt: int) -> None:
        detail = f'request {self.request_id} attempt {attempt}'
        self.invariants.require(holds, name, detail)
