"""How far the read of a table has come, for decisions and for logs."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ...process.clock import Clock

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """How long an answer is waited for, in seconds.

    Explanation
    ===========
    An answer that is still arriving is worth more than a new one: to give it
    up loses what has arrived, and its bytes take up the links all the same.
    So a limit on its silence stands beside a far longer one on the whole.

    Parameters
    ==========
    check_interval_s : float
        Time between two checks.
    first_s : float
        How long the head may take.
    silence_s : float
        How long nothing may arrive after that.
    arrival_s : float
        How long the rest may take in all.

    Examples
    ========
    >>> ReadLimits(0.1, first_s=1.4, silence_s=0.5, arrival_s=6).checks(1.4)
    14
    """

    check_interval_s: float
    first_s: float
    silence_s: float
    arrival_s: float

    def checks(self, seconds: float) -> int:
        """Return how many checks some seconds take."""
        return round(seconds / self.check_interval_s)


@dataclass(slots=True)
class ReadProgress:
    """The bytes that were read of one answer, and when.

    Parameters
    ==========
    octets : int
        Bytes of the body that were read so far.
    first_at : float or None
        Monotonic time at which the head was read, in seconds.
    late_s : float
        How late the event loop was at most while the answer was read.
    is_given_up : bool
        Whether the answer was silent for too long.
    """

    clock: Clock
    octets: int = 0
    first_at: float | None = None
    late_s: float = 0
    is_given_up: bool = False
    _checks: int = 0
    _checks_since_head: int = 0
    _began_at: float = field(init=False)

    def __post_init__(self) -> None:
        """Begin now."""
        self._began_at = self.clock.monotonic()

    @property
    def took_s(self) -> float:
        """Return the time since the read began, in seconds."""
        return self.clock.monotonic() - self._began_at

    @property
    def is_arriving(self) -> bool:
        """Return whether the answer has begun to arrive."""
        return self.first_at is not None

    def check(self, limits: ReadLimits) -> bool:
        """Return whether the answer is still worth waiting for.

        Explanation
        ===========
        Called at an even pace. Counting these calls, and not the time, gives
        a process that was held up the chance to read what arrived meanwhile.
        """
        self._checks += 1
        longest_s = limits.first_s
        if self.is_arriving:
            longest_s = limits.silence_s
            self._checks_since_head += 1
        self.is_given_up = self._checks > limits.checks(
            longest_s
        ) or self._checks_since_head > limits.checks(limits.arrival_s)
        return not self.is_given_up

    def note_head(self) -> None:
        """Record that the head of the answer was read."""
        self.first_at = self.clock.monotonic()
        self._checks = 0

    def note(self, octets: int) -> None:
        """Record how many bytes were read so far."""
        self.octets = octets
        self._checks = 0

    def fields(self) -> Mapping[str, object]:
        """Return what a log line tells of the read; times in milliseconds."""
        now = self.clock.monotonic()
        arriving_s = 0 if self.first_at is None else now - self.first_at
        return {
            'bytes': self.octets,
            'took_ms': round(self.took_s * MILLISECONDS_PER_SECOND),
            'arriving_ms': round(arriving_s * MILLISECONDS_PER_SECOND),
            'late_ms': round(self.late_s * MILLISECONDS_PER_SECOND),
        }
