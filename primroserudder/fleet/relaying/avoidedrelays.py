"""Relays that failed, and are not queried for a while."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ...process.clock import Clock

# A failed relay is queried again after this time.
RELAY_RETRY_S = 2.0
# Stands for all tables.
ANY_TABLE = ''


@dataclass(slots=True)
class AvoidedRelays:
    """Knows which relays failed lately, and for which tables."""

    clock: Clock
    _failed_at: dict[tuple[str, str], float] = field(default_factory=dict)

    def note(self, relay: str, table: str = ANY_TABLE) -> None:
        """Avoid a relay for a table, or for all if none is named."""
        self._failed_at[(relay, table)] = self.clock.monotonic()

    def usable(self, relays: Iterable[str], table: str) -> list[str]:
        """Return the relays that may be queried for a table, in order."""
        return [
            relay
            for relay in relays
            if not self._has_failed(relay, table)
            and not self._has_failed(relay, ANY_TABLE)
        ]

    def _has_failed(self, relay: str, table: str) -> bool:
        failed_at = self._failed_at.get((relay, table), float('-inf'))
        return self.clock.monotonic() - failed_at < RELAY_RETRY_S
