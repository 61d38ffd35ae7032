"""How far the read of a table has come, for decisions and for logs."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ...process.clock import Clock

MILLISECONDS_PER_SECOND = 1000


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
    """

    clock: Clock
    octets: int = 0
    first_at: float | None = None
    late_s: float = 0
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

    def note_head(self) -> None:
        """Record that the head of the answer was read."""
        self.first_at = self.clock.monotonic()

    def note(self, octets: int) -> None:
        """Record how many bytes were read so far."""
        self.octets = octets

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
