"""Messages in which a relay sends tables to other routers."""

from collections.abc import Mapping

import orjson
from pydantic import BaseModel, ConfigDict

from ..process.platform import Row
from ..process.tablepages import StoreVersion
from ..process.tables import TableFollower

PATH = '/tables'


class RowMessage(BaseModel):
    """The current content of one row."""

    model_config = ConfigDict(frozen=True)

    key: str
    revision: int
    fields: Mapping[str, object]

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


def encode_table(follower: TableFollower, since: StoreVersion) -> bytes:
    """Return a table's changes since a version, encoded as JSON.

    Explanation
    ===========
    Changes since a version of another era can't be told; the receiver sees
    the era and reads the whole table.
    """
    followed = follower.rows
    rows = [
        {'key': row.key, 'revision': row.revision, 'fields': row.fields}
        for row in followed.by_key.values()
        if row.revision > since.revision
    ]
    return orjson.dumps(
        {
            'revision': followed.version.revision,
            'era': followed.version.era,
            'count': len(followed.by_key),
            'rows': rows,
            'removed': followed.removed_since(since.revision),
        }
    )
