"""Messages in which a relay sends tables to other routers."""

from collections.abc import Mapping
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict

from ...process.platform import Row
from ...process.tablepages import StoreVersion
from .rowpatch import RowPatch

PATH = '/tables'
# Coding of a large answer to one who says which rows it holds.
COMPRESSION = 'deflate'


@dataclass(frozen=True, slots=True)
class HeldRows:
    """Revisions of the large rows that a router holds, of one era.

    Examples
    ========
    >>> HeldRows(2, (17, 31)).encode()
    '2:17,31'
    >>> HeldRows.decode('2:17,31')
    HeldRows(era=2, revisions=(17, 31))
    """

    era: int
    revisions: tuple[int, ...] = ()

    def encode(self) -> str:
        """Return the text of a query's parameter."""
        revisions = ','.join(map(str, self.revisions))
        return f'{self.era}:{revisions}'

    @classmethod
    def decode(cls, text: str) -> 'HeldRows':
        """Return what a parameter names.

        Raises
        ======
        ValueError
            The parameter has another form.
        """
        era, _, revisions = text.partition(':')
        return cls(
            int(era), tuple(map(int, filter(None, revisions.split(','))))
        )


class RowMessage(BaseModel):
    """The current content of one row, or the patch that makes it."""

    model_config = ConfigDict(frozen=True)

    key: str
    revision: int
    fields: Mapping[str, object] = {}
    patch: RowPatch | None = None

    def row(self) -> Row:
        """Return the row as the store returned it."""
        return Row(self.key, self.revision, self.fields)


class TableMessage(BaseModel):
    """Rows changed since a version; ``count`` includes unchanged rows.

    Explanation
    ===========
    ``era`` counts how often the store has come back from a copy; revisions
    compare only within an era.
    """

    model_config = ConfigDict(frozen=True)

    revision: int
    count: int
    era: int = 0
    rows: tuple[RowMessage, ...]
    removed: tuple[str, ...] = ()

    @property
    def version(self) -> StoreVersion:
        """Return the version as of which the sender knows the table.

        Explanation
        ===========
        It may be past all rows: the newest one may have been removed.
        """
        return StoreVersion(self.era, self.revision)
