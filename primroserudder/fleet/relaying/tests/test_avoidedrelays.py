"""A relay is avoided for as much as its failure says of it."""

import pytest
from aiohttp import ClientSession

from ....httpclient import open_session
from ....platform import PlatformStore
from ....process.clock import SystemClock
from ....process.decisions import DecisionLog
from ....process.tablepages import StoreVersion
from ....testing.rawpeer import Script, raw_peer, sends, stays_silent
from ..avoidedrelays import AvoidedRelays
from ..messages import TableMessage
from ..progress import ReadProgress
from ..relayclient import RelayAnswer, RelayFailure, TableQuery
from ..relayedtables import RelayedTableSource

REFUSAL = b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'
RELAYS = ('relay-1:1', 'relay-2:1')


def test_relay_that_is_behind_in_one_table_is_used_for_others() -> None:
    avoided = AvoidedRelays(SystemClock())
    avoided.note('relay-1:1', 'op')
    assert avoided.usable(RELAYS, 'op') == ['relay-2:1']
    assert avoided.usable(RELAYS, 'servers') == list(RELAYS)


def test_relay_that_fails_is_used_for_no_table() -> None:
    avoided = AvoidedRelays(SystemClock())
    avoided.note('relay-1:1')
    assert avoided.usable(RELAYS, 'servers') == ['relay-2:1']


@pytest.mark.parametrize(
    ('script', 'is_newer_known', 'is_general'),
    [
        (sends(REFUSAL), False, True),
        (stays_silent, False, True),
        (stays_silent, True, False),
    ],
    ids=['out of date', 'silent', 'behind'],
)
async def test_only_a_relay_that_is_behind_may_be_used_for_other_tables(
    script: Script, *, is_newer_known: bool, is_general: bool
) -> None:
    """Else tables stay at a relay that has lost the store."""
    clock = SystemClock()
    async with raw_peer(script) as peer, ClientSession() as session:
        store = PlatformStore('127.0.0.1:1')
        tables = RelayedTableSource(
            store,
            session,
            clock,
            DecisionLog('vm', clock),
            lambda: [peer.address],
        )
        query = TableQuery('op', StoreVersion(0, 1), 0.2)
        failure = await tables.client.query(
            peer.address,
            query,
            ReadProgress(clock),
            lambda: not is_newer_known,
        )
        await store.close()
    assert isinstance(failure, RelayFailure)
    assert failure.is_general == is_general


@pytest.mark.parametrize(
    ('head', 'kind'),
    [
        (b'HTTP/1.1 200 OK\r\n', RelayAnswer),
        (b'HTTP/2.0 200 OK\r\n', RelayFailure),
        (b'HTTP/1.1 200 OK\r\nX-Odd: a\x01b\r\n', RelayFailure),
        (b'HTTP/1.1 200 OK\r\nX-Odd: 1\r\n 2\r\n', RelayFailure),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n', RelayFailure),
    ],
    ids=['sound', 'version', 'control byte', 'folded', 'coding'],
)
async def test_broken_answer_of_a_relay_is_none(
    head: bytes, kind: type[RelayAnswer | RelayFailure]
) -> None:
    clock = SystemClock()
    message = (
        TableMessage(revision=2, count=0, rows=(), removed=())
        .model_dump_json()
        .encode()
    )
    script = sends(b'%s\r\n%s' % (head, message))
    async with raw_peer(script) as peer, open_session() as session:
        store = PlatformStore('127.0.0.1:1')
        tables = RelayedTableSource(
            store,
            session,
            clock,
            DecisionLog('vm', clock),
            lambda: [peer.address],
        )
        query = TableQuery('op', StoreVersion(0, 1), 0.2)
        answered = await tables.client.query(
            peer.address, query, ReadProgress(clock), lambda: True
        )
        await store.close()
    assert isinstance(answered, kind)
