"""Types of the answers that a table's follower gets from its source."""

from collections.abc import Sequence
from dataclasses import dataclass

from ..errors import RudderError
from .platform import Row


class HistoryLost(RudderError):
    """The store no longer holds all changes since a version."""

    code = 'history_lost'
    status = 503
    default_remedy = 'read the whole table again'


@dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """A revision of the store, and the era in which it was given out."""

    era: int
    revision: int


@dataclass(frozen=True, slots=True)
class TablePage:
    """All rows of a table as of one revision."""

    rows: Sequence[Row]
    revision: int
    era: int = 0

    @property
    def version(self) -> StoreVersion:
        """Return the version to read changes from."""
        return StoreVersion(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Change:
    """A row's new content; ``None`` where the row was removed."""

    key: str
    row: Row | None


@dataclass(frozen=True, slots=True)
class ChangePage:
    """Changes in order, and the version to continue from.

    Parameters
    ==========
    count : int or None
        Number of rows in the table, if the source reports it.
    """

    changes: Sequence[Change]
    revision: int
    count: int | None = None
    era: int = 0

    @property
    def version(self) -> StoreVersion:
        """Return the version to continue from."""
        return StoreVersion(self.era, self.revision)
