"""The broken groups that the lease's holder reports to all VMs."""

from collections.abc import Collection
from dataclasses import dataclass, field

# Neighbours exchange notices at least each 0.3 s, and some are lost.
REPORTED_AFTER_RELEASE_S = 1.0


@dataclass(slots=True)
class BrokenGroups:
    """Names of broken groups, and of those that were released lately.

    Explanation
    ===========
    A group whose head was restarted is released a few milliseconds after it
    was found broken. Without a further report, VMs whose notices fell between
    would wait for an answer of the lost head until the deadline. A group that
    is found sound again is not reported any more.
    """

    names: tuple[str, ...] = ()
    _released_at: dict[str, float] = field(default_factory=dict)

    def update(
        self, existing: Collection[str], broken: Collection[str], now: float
    ) -> None:
        """Take over which groups exist, and which of them are broken.

        Parameters
        ==========
        now : float
            Monotonic time in seconds.
        """
        released = set(self.names) - set(existing)
        released_at = {
            name: self._released_at.get(name, now) for name in released
        }
        self._released_at = {
            name: at
            for name, at in released_at.items()
            if now - at < REPORTED_AFTER_RELEASE_S
        }
        self.names = (*broken, *self._released_at)

    def clear(self) -> None:
        """Report none, as another VM keeps the groups."""
        self.names = ()
        self._released_at = {}
