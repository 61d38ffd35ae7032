"""The routers that speak for the other failure domains."""

import itertools
from dataclasses import dataclass, field

REPRESENTATIVE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Representatives:
    """The roots of other domains, and when they were heard.

    Explanation
    ===========
    A domain can have several for a moment, for example while VMs that start
    do not know each other.
    """

    heard_at_by_domain: dict[str, dict[str, float]] = field(
        default_factory=dict
    )

    def note(self, domain: str, root: str, now: float) -> None:
        """Record a notice of a domain's root."""
        self.heard_at_by_domain.setdefault(domain, {})[root] = now

    def expire(self, now: float) -> None:
        """Drop the roots that were silent for too long."""
        self.heard_at_by_domain = {
            domain: recent
            for domain, heard_at in self.heard_at_by_domain.items()
            if (recent := _recent(heard_at, now))
        }

    def clear(self) -> None:
        """Forget all, as this VM speaks for its domain no more."""
        self.heard_at_by_domain = {}

    def all(self) -> list[str]:
        """Return the roots of all other domains."""
        return list(
            itertools.chain.from_iterable(self.heard_at_by_domain.values())
        )


def _recent(heard_at: dict[str, float], now: float) -> dict[str, float]:
    return {
        root: at
        for root, at in heard_at.items()
        if now - at <= REPRESENTATIVE_TIMEOUT_S
    }
