"""What a model of evacuations measures."""

import asyncio
from dataclasses import dataclass, field

EVACUATED_AT_S = 4.0
REVOKED_AT_S = 11.0
END_S = 18.2
# Trouble begins within this time before or after the row is written.
TROUBLE_S = 1.0
# Rates are measured for so long.
RATE_WINDOW_S = 2.0
RETURN_S = 5.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an engine."""

    at: float
    domain: str
    is_in_touch: bool


@dataclass(slots=True)
class Outcome:
    """What reached the engines, and when VMs heard of the row.

    Parameters
    ==========
    heard_within_s : float
        Time in which the last VM heard of the row, in seconds. VMs out of
        touch, and those that stopped meanwhile, don't count.
    """

    evacuated: str = 'fd-1'
    arrivals: list[Arrival] = field(default_factory=list)
    refused: int = 0
    heard_at_by_address: dict[str, float] = field(default_factory=dict)
    heard_within_s: float = 0

    def note_arrival(self, domain: str, *, is_in_touch: bool) -> None:
        """Record a request that reached an engine."""
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(now, domain, is_in_touch))

    def note_hearing(self, address: str) -> None:
        """Take the time of a VM into account that should have heard."""
        heard_at = self.heard_at_by_address.get(address, float('inf'))
        self.heard_within_s = max(
            self.heard_within_s, heard_at - EVACUATED_AT_S
        )

    def latest_s(self) -> float:
        """Return how long after the row requests reached the domain.

        Explanation
        ===========
        In seconds; zero if none did. VMs out of touch don't count.
        """
        return max(
            (
                arrival.at - EVACUATED_AT_S
                for arrival in self.arrivals
                if arrival.domain == self.evacuated
                and arrival.is_in_touch
                and EVACUATED_AT_S <= arrival.at < REVOKED_AT_S
            ),
            default=0,
        )

    def served(self, since: float, until: float) -> int:
        """Return how many requests reached engines in a time."""
        return sum(since <= arrival.at < until for arrival in self.arrivals)

    def served_share_after(self) -> float:
        """Return the rate after the return as a share of that before."""
        since = REVOKED_AT_S + RETURN_S
        after = self.served(since, since + RATE_WINDOW_S)
        return after / self._served_before()

    def served_share_meanwhile(self) -> float:
        """Return the rate during the evacuation as a share of that before."""
        meanwhile = self.served(REVOKED_AT_S - RATE_WINDOW_S, REVOKED_AT_S)
        return meanwhile / self._served_before()

    def _served_before(self) -> int:
        until = EVACUATED_AT_S - TROUBLE_S
        return self.served(until - RATE_WINDOW_S, until)
