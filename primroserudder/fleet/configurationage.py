"""How old the active configuration is, for refusals that rest on it."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

from ..errors import Ran, RudderError
from ..platform.names import OPERATOR_TABLE
from ..process.clock import Clock
from .relaying.relayedtables import RelayedTableSource
from .routes import UnknownKey, UnknownRoute
from .site_view import SiteView

MILLISECONDS_PER_SECOND = 1000
# The operators' table is confirmed once a second while its source answers.
CONFIRMATION_LIMIT_S = 3.0
# A newer version is in force on most VMs by then.
OUTDATED_RETRY_S = 0.5


class OutdatedConfiguration(RudderError):
    """The configuration lacks what a request names, and may be outdated."""

    code = 'outdated_configuration'
    status = 503
    ran = Ran.NO
    default_remedy = 'retry the request after the delay in Retry-After'


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

    @property
    def is_current(self) -> bool:
        """Return whether nothing speaks against the configuration's age."""
        is_confirmed = self.confirmed_s <= CONFIRMATION_LIMIT_S
        return is_confirmed and self.newer_known_s is None


_AGED_ERRORS = (UnknownRoute, UnknownKey, OutdatedConfiguration)
Age = Callable[[], ConfigurationAge | None]


def no_age() -> None:
    """Tell nothing of the configuration's age."""


@contextmanager
def refused_if_outdated(age: Age) -> Iterator[None]:
    """Refuse what an outdated configuration lacks, without saying that it is.

    Explanation
    ===========
    That a route or a key does not exist is a statement about the configuration
    in force. A VM that knows of a newer one, or has heard of none for long,
    can't make it.

    Raises
    ======
    OutdatedConfiguration
        The block found no route or key, and the configuration may be outdated.
    """
    try:
        yield
    except (UnknownRoute, UnknownKey) as error:
        known = age()
        if known is None or known.is_current:
            raise
        raise OutdatedConfiguration(
            f'{error}, by version {known.version}, which may be outdated',
            retry_after=OUTDATED_RETRY_S,
        ) from error


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


def age_fields(error: RudderError, age: Age) -> Mapping[str, object]:
    """Return what a log line tells of the age of a refusal's grounds."""
    if not isinstance(error, _AGED_ERRORS):
        return {}
    known = age()
    if known is None:
        return {}
    newer_s = known.newer_known_s
    return {
        'configuration': known.version,
        'revision': known.revision,
        'confirmed_ms': _milliseconds(known.confirmed_s),
        'newer_known_ms': None if newer_s is None else _milliseconds(newer_s),
    }


def _milliseconds(seconds: float) -> int:
    return round(seconds * MILLISECONDS_PER_SECOND)
