"""Encodes tables for other routers."""

import zlib
from collections.abc import Mapping

import orjson

from ...process.platform import Row
from ...process.tablepages import StoreVersion
from ...process.tables import TableFollower
from .messages import HeldRows
from .rowhistory import RowHistory

# Smaller answers fit into a few packets anyway.
COMPRESSED_BYTES = 4096
# Fast, and already a tenth of a list of routes.
COMPRESSION_LEVEL = 1


def encode_table(
    follower: TableFollower,
    since: StoreVersion,
    held: HeldRows | None = None,
    history: RowHistory | None = None,
) -> bytes:
    """Return a table's changes since a version, encoded as JSON.

    Explanation
    ===========
    Changes since a version of another era can't be told; the receiver sees
    the era and reads the whole table. Large rows are sent as patches of what
    the receiver holds, if that is known.
    """
    followed = follower.rows
    era = followed.version.era
    rows = [
        _encode_row(era, row, held, history)
        for row in followed.by_key.values()
        if row.revision > since.revision
    ]
    return orjson.dumps(
        {
            'revision': followed.version.revision,
            'era': era,
            'count': len(followed.by_key),
            'rows': rows,
            'removed': followed.removed_since(since.revision),
        }
    )


def compress(body: bytes) -> bytes | None:
    """Return a compressed body, ``None`` if it is small as it is."""
    if len(body) < COMPRESSED_BYTES:
        return None
    return zlib.compress(body, COMPRESSION_LEVEL)


def _encode_row(
    era: int,
    row: Row,
    held: HeldRows | None,
    history: RowHistory | None,
) -> Mapping[str, object]:
    encoded = {'key': row.key, 'revision': row.revision}
    if held is not None and history is not None:
        patch = history.patch(era, row, held)
        if patch is not None:
            return {**encoded, 'patch': patch.model_dump()}
    return {**encoded, 'fields': row.fields}
