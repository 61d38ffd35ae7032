"""Queries other routers for their copies of tables."""

import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus

from aiohttp import ClientError, ClientSession, ClientTimeout

from ...httpclient import read_bounded
from ...process.clock import Clock
from ...process.platform import Row
from ...process.tablepages import StoreVersion
from .messages import COMPRESSION, PATH, HeldRows, TableMessage
from .progress import ReadLimits, ReadProgress
from .querywatch import CHECK_INTERVAL_S, QueryWatch
from .rowhistory import RowHistory
from .rowpatch import PatchMismatch

# A relay may begin to answer this long after the requested wait time.
RELAY_TIMEOUT_SLACK_S = 0.5
# Then its answer may be silent for so long, and arrive for so long in all.
ARRIVAL_SILENCE_S = 0.5
ARRIVAL_LIMIT_S = 6.0
# The watch of the queries limits them, without a timer for each.
NO_TIMEOUT = ClientTimeout(total=None)
# A table of some thousand rows takes a few MB.
MAX_ANSWER_BYTES = 16_777_216
# Asks for the whole table.
START = StoreVersion(0, 0)


class MalformedBody(ValueError):
    """The body of a relay's answer can't be decompressed."""


@dataclass(frozen=True, slots=True)
class TableQuery:
    """A query to a relay.

    Parameters
    ==========
    newest : StoreVersion
        Version of the newest row that this VM has read, for a query of the
        whole table; a relay that does not have this row is behind.
    """

    table: str
    since: StoreVersion
    wait_s: float
    newest: StoreVersion = START


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """The rows that a relay returned, and the table's size and version."""

    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    count: int
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class RelayFailure:
    """Why a relay can't be used.

    Parameters
    ==========
    is_general : bool
        Whether the relay should be avoided for other tables too. A relay that
        is behind in one may be up to date in others.
    """

    reason: str
    is_general: bool = True


@dataclass(slots=True)
class RelayClient:
    """Reads tables from relays; keeps large rows, to get patches of them.

    Parameters
    ==========
    answered : int
        Queries that a relay answered.
    """

    session: ClientSession
    clock: Clock
    history: RowHistory = field(default_factory=RowHistory)
    answered: int = 0
    _heard_at_by_table: dict[str, float] = field(default_factory=dict)
    _watch: QueryWatch[TableMessage | RelayFailure] = field(
        default_factory=QueryWatch
    )

    def note_arrival(self, table: str) -> None:
        """Record that bytes of a table arrive from its source."""
        self._heard_at_by_table[table] = self.clock.monotonic()

    def heard_at(self, table: str) -> float:
        """Return when bytes of a table last arrived, in monotonic seconds."""
        return self._heard_at_by_table.get(table, float('-inf'))

    async def query(
        self,
        relay: str,
        query: TableQuery,
        progress: ReadProgress,
        is_usable: Callable[[], bool],
    ) -> RelayAnswer | RelayFailure:
        """Return a relay's answer, or why it can't be used.

        Explanation
        ===========
        An answer that is arriving is read whatever else is known of the relay:
        to give it up would begin anew with the same bytes elsewhere.
        """
        limits = ReadLimits(
            CHECK_INTERVAL_S,
            query.wait_s + RELAY_TIMEOUT_SLACK_S,
            ARRIVAL_SILENCE_S,
            ARRIVAL_LIMIT_S,
        )
        self._watch.late_s = 0
        try:
            fetched = await self._watch.wait(
                self._fetch(relay, query, progress),
                lambda: (
                    progress.check(limits)
                    and (progress.is_arriving or is_usable())
                ),
            )
        except (ClientError, OSError, ValueError) as error:
            return RelayFailure(repr(error))
        finally:
            progress.late_s = self._watch.late_s
        if fetched is None:
            return _given_up(progress)
        if isinstance(fetched, TableMessage):
            return self._checked(query, fetched)
        return fetched

    def _checked(
        self, query: TableQuery, message: TableMessage
    ) -> RelayAnswer | RelayFailure:
        if message.version < query.newest:
            return RelayFailure('the relay has older rows than this VM')
        if message.era < query.since.era:
            return RelayFailure('the relay has not seen the last restore')
        try:
            rows = self.history.rows(message)
        except PatchMismatch as error:
            return RelayFailure(str(error), is_general=False)
        return RelayAnswer(
            rows, message.removed, message.count, message.version
        )

    async def _fetch(
        self,
        relay: str,
        query: TableQuery,
        progress: ReadProgress,
    ) -> TableMessage | RelayFailure:
        url = f'http://{relay}{PATH}/{query.table}'
        held = self.history.held(query.table)
        async with self.session.get(
            url, params=_parameters(query, held), timeout=NO_TIMEOUT
        ) as answer:
            progress.note_head()
            body = await read_bounded(
                answer,
                MAX_ANSWER_BYTES,
                partial(self._note_size, query.table, progress),
            )
            if answer.status != HTTPStatus.OK:
                return RelayFailure(f'the relay answered {answer.status}')
            if answer.headers.get('Content-Encoding') == COMPRESSION:
                body = _decompressed(body)
        self.answered += 1
        return TableMessage.model_validate_json(body)

    def _note_size(
        self, table: str, progress: ReadProgress, octets: int
    ) -> None:
        progress.note(octets)
        self.note_arrival(table)


def _given_up(progress: ReadProgress) -> RelayFailure:
    """Return why the watch cancelled a query."""
    if progress.is_given_up:
        return RelayFailure('the relay is silent')
    return RelayFailure(
        'the relay is behind or left the tree', is_general=False
    )


def _parameters(query: TableQuery, held: HeldRows) -> dict[str, str]:
    return {
        'since': str(query.since.revision),
        'era': str(query.since.era),
        'wait': str(query.wait_s),
        'held': held.encode(),
    }


def _decompressed(body: bytes) -> bytes:
    """Return a decompressed body, up to the largest size.

    Raises
    ======
    MalformedBody
        The body is malformed, incomplete or too long.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(body, MAX_ANSWER_BYTES)
    except zlib.error as error:
        raise MalformedBody(str(error)) from error
    if not decompressor.eof:
        raise MalformedBody('the body is incomplete or too long')
    return plain
