"""What a VM tells the others of engines that named a limit."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from .notice import LimitNews


def _no_counts() -> Mapping[int, int]:
    return {}


def _no_news() -> Mapping[int, LimitNews]:
    return {}


def _ignore(_news: Mapping[int, LimitNews]) -> None:
    """Ignore what other VMs heard."""


@dataclass(slots=True)
class LimitReport:
    """What a VM sent lately to limited engines, and the limits it knows.

    Parameters
    ==========
    sent : Callable
        Returns this VM's requests by the key of the engine's incarnation.
    looks : Callable
        Returns how often this VM looked lately for a place there, a second.
    heard : Callable
        Returns the known limits by that key.
    merge : Callable
        Takes over limits that another VM knows.
    cold : Callable
        Returns one for each engine that this VM knows as cold, by its key.
    """

    sent: Callable[[], Mapping[int, int]] = _no_counts
    looks: Callable[[], Mapping[int, int]] = _no_counts
    heard: Callable[[], Mapping[int, LimitNews]] = _no_news
    merge: Callable[[Mapping[int, LimitNews]], None] = _ignore
    cold: Callable[[], Mapping[int, int]] = _no_counts

    def sent_by_key(self) -> dict[int, int]:
        """Return this VM's requests, as a map of its own."""
        return dict(self.sent())

    def looks_by_key(self) -> dict[int, int]:
        """Return how often this VM looked, as a map of its own."""
        return dict(self.looks())

    def cold_by_key(self) -> dict[int, int]:
        """Return the engines known as cold, as a map of its own."""
        return dict(self.cold())

    def news(self) -> Mapping[int, LimitNews]:
        """Return the known limits."""
        return self.heard()
