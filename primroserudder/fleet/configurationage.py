"""How old the active configuration is, for refusals that rest on it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..errors import RudderError
from ..platform.names import OPERATOR_TABLE
from ..process.clock import Clock
from .relaying.relayedtables import RelayedTableSource
from .routes import UnknownKey, UnknownRoute
from .site_view import SiteView

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class ConfigurationAge:
    """What is known of the age of the active configuration.

    Parameters
    ==========
    version : int
        Version that the operators gave it, zero if there is none.
    revision : int
        Revision of the newest row of the operators' table.
    confirmed_s : float
        Time since the source of that table last answered, in seconds.
    newer_known_s : float or None
        For how long another VM is known to have a newer row, in seconds;
        ``None`` if none is known to.
    """

    version: int
    revision: int
    confirmed_s: float
    newer_known_s: float | None


@dataclass(frozen=True, slots=True)
class ConfigurationWatch:
    """Compares this VM's configuration with what other VMs have."""

    view: SiteView
    tables: RelayedTableSource
    clock: Clock

    def age(self) -> ConfigurationAge:
        """Return the age of the active configuration."""
        follower = self.view.configurations
        return ConfigurationAge(
            self.view.active.current_version,
            follower.rows.newest(),
            self.clock.monotonic() - follower.confirmed_at,
            self.tables.newer_known_s(OPERATOR_TABLE, follower.rows.version),
        )


def age_fields(
    error: RudderError, age: Callable[[], ConfigurationAge | None]
) -> Mapping[str, object]:
    """Return what a log line tells of the age of a refusal's grounds."""
    if not isinstance(error, UnknownRoute | UnknownKey):
        return {}
    known = age()
    if known is None:
        return {}
    newer_s = known.newer_known_s
    return {
        'configuration': known.version,
        'revision': known.revision,
        'confirmed_ms': round(known.confirmed_s * MILLISECONDS_PER_SECOND),
        'newer_known_ms': newer_s and round(newer_s * MILLISECONDS_PER_SECOND),
    }
