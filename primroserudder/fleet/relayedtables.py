"""The store's tables, read by one VM of a failure domain for its others.

Explanation
===========
The store's calls are few and dear, and some VMs are turned away by it. So
the first router of each failure domain follows the tables and gives them out
with the store's own versions; the others ask it in place of the store. Where
it fails, they ask the second one, which has turned to the store meanwhile,
and only then the store itself: what the first one's loss costs the store does
not grow with the domain. Routers far down the order that the store fails too
ask it now and then only.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TypeVar

from aiohttp import ClientError, ClientSession, ClientTimeout
from pydantic import ValidationError

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.loops import cancel_on_exit
from ..process.platform import PlatformUnavailable, Row
from ..process.tables import Change, ChangePage, TablePage, TableSource
from .relaymessages import PATH, TableMessage
from .tablerelay import CATCH_UP_S, CHECK_INTERVAL_S

# The relay's answer may come this long after the time asked for.
SLACK_S = 0.5
# A relay that failed is asked again after this time.
LEFT_S = 2.0
# So many relays are asked before the store itself.
MOST_RELAYS = 2
# A router with relays before it asks a store that failed it so often.
STORE_PROBE_S = 1.0
# A version that others know is here within this time, or the store is asked.
BEHIND_S = 0.8

_Answer = TypeVar('_Answer')
_Page = TypeVar('_Page', TablePage, ChangePage)


@dataclass(frozen=True, slots=True)
class _HeardVersion:
    """A version that others know, and since when that is known here."""

    version: int
    at: float


@dataclass(frozen=True, slots=True)
class _Question:
    """What is asked of a relay.

    Parameters
    ==========
    newest : int
        Version of the newest row seen here, where a whole table is asked
        for; a relay that does not have it is behind.
    """

    table: str
    since: int
    wait_s: float
    newest: int = 0


@dataclass(slots=True)
class RelayedTableSource:
    """Tables from the failure domain's relays, or else from the store.

    Parameters
    ==========
    relays : Callable
        Addresses of living relays, best first; none where the store is to
        be asked.
    turned_at : float
        When another source was last turned to.
    """

    store: TableSource
    session: ClientSession
    clock: Clock
    log: DecisionLog
    relays: Callable[[], Sequence[str]]
    source_changed_at: float = field(init=False)
    relayed_reads: int = 0
    _left_at: dict[str, float] = field(default_factory=dict)
    _store_failed_at: float = float('-inf')
    _heard: dict[str, _HeardVersion] = field(default_factory=dict)
    _newest_by_table: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Begin as one who has just turned to its source."""
        self.source_changed_at = self.clock.monotonic()

    async def close(self) -> None:
        """Close the connections to relays."""
        await self.session.close()

    def note_peer_versions(self, versions: Mapping[str, int]) -> None:
        """Note versions that other VMs know."""
        now = self.clock.monotonic()
        for table, version in versions.items():
            known = self._heard.get(table)
            if known is None or version > known.version:
                self._heard[table] = _HeardVersion(version, now)

    async def read_table(self, table: str) -> TablePage:
        """Return all rows, never older ones than were given before."""
        known = self._newest_by_table.get(table, 0)
        message = await self._ask(_Question(table, 0, 0, known))
        if message is None:
            page = await self._from_store(lambda: self.store.read_table(table))
        else:
            rows = tuple(one.row() for one in message.rows)
            page = TablePage(rows, message.revision)
        self._note_newest(table, page.rows)
        return page

    async def changes(
        self,
        table: str,
        since: int,
        wait_s: float,
    ) -> ChangePage:
        """Return the changes after a version, waiting for the first."""
        message = await self._ask(_Question(table, since, wait_s))
        if message is None:
            found = await self._from_store(
                lambda: self.store.changes(table, since, wait_s)
            )
        else:
            changed = [Change(one.key, one.row()) for one in message.rows]
            removed = [Change(key, None) for key in message.removed]
            found = ChangePage(
                (*removed, *changed), message.revision, message.count
            )
        self._note_newest(table, [one.row for one in found.changes if one.row])
        return found

    def _note_newest(self, table: str, rows: Iterable[Row]) -> None:
        known = self._newest_by_table.get(table, 0)
        newest = max((row.revision for row in rows), default=0)
        self._newest_by_table[table] = max(known, newest)

    async def _ask(self, question: _Question) -> TableMessage | None:
        """Return what the first relay that is up to date answers."""
        for relay in self._usable():
            answer = await self._ask_relay(relay, question)
            if isinstance(answer, TableMessage):
                return answer
            self._leave(relay, answer)
        return None

    def _usable(self) -> list[str]:
        now = self.clock.monotonic()
        usable = (
            relay
            for relay in self.relays()
            if now - self._left_at.get(relay, float('-inf')) >= LEFT_S
        )
        return list(itertools.islice(usable, MOST_RELAYS))

    async def _ask_relay(
        self,
        relay: str,
        question: _Question,
    ) -> TableMessage | str:
        """Return a relay's answer, or the reason why it is of no use."""
        asked_at = self.clock.monotonic()
        try:
            message = await self._while_useful(
                lambda: (
                    relay in self.relays()
                    and not self._is_behind(question, asked_at)
                ),
                self._fetch(relay, question),
            )
        except (ClientError, OSError, ValidationError) as error:
            return repr(error)
        if message is None:
            return 'silent, behind or out of date'
        if question.newest and message.newest() < question.newest:
            return 'behind what was seen here'
        return message

    def _is_behind(self, question: _Question, asked_at: float) -> bool:
        """Return whether others have known a newer version for a while."""
        heard = self._heard.get(question.table)
        if heard is None or not question.since:
            return False
        if heard.version <= question.since:
            return False
        now = self.clock.monotonic()
        # A relay that was turned to since then gets a moment.
        return now - heard.at > BEHIND_S and now - asked_at > CATCH_UP_S

    async def _from_store(self, ask: Callable[[], Awaitable[_Page]]) -> _Page:
        """Ask the store itself, if it did not fail a moment ago."""
        now = self.clock.monotonic()
        is_far_down = len(self.relays()) >= MOST_RELAYS
        if is_far_down and now - self._store_failed_at < STORE_PROBE_S:
            raise PlatformUnavailable('neither relays nor the store answer')
        try:
            return await ask()
        except PlatformUnavailable:
            self._store_failed_at = self.clock.monotonic()
            raise

    async def _while_useful(
        self,
        is_useful: Callable[[], bool],
        asking: Awaitable[_Answer | None],
    ) -> _Answer | None:
        """Wait for an answer, but not for that of a relay gone silent."""
        task = asyncio.ensure_future(asking)
        async with cancel_on_exit(task):
            while not task.done() and is_useful():
                await asyncio.wait((task,), timeout=CHECK_INTERVAL_S)
            return task.result() if task.done() else None

    async def _fetch(
        self,
        relay: str,
        question: _Question,
    ) -> TableMessage | None:
        query = {'since': str(question.since), 'wait': str(question.wait_s)}
        timeout = ClientTimeout(total=question.wait_s + SLACK_S)
        async with self.session.get(
            f'http://{relay}{PATH}/{question.table}',
            params=query,
            timeout=timeout,
        ) as answer:
            body = await answer.read()
            if answer.status != HTTPStatus.OK:
                return None
        self.relayed_reads += 1
        return TableMessage.model_validate_json(body)

    def _leave(self, relay: str, reason: str) -> None:
        now = self.clock.monotonic()
        self._left_at[relay] = now
        self.source_changed_at = now
        self.log.note('relay_left', relay=relay, reason=reason)
