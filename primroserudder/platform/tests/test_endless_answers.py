"""Reports, orders and calls to the store whose answers never end."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ...process.platform import (
    OutcomeUnknown,
    PlatformUnavailable,
    Transaction,
    Write,
)
from ...process.tablepages import StoreVersion
from ...testing.fleetdata import engine, formation
from ...testing.rawpeer import RawPeer, Script, answers, floods, raw_peer
from .. import names
from ..orders import EngineOrders, OrderOutcome
from ..store import MAX_ANSWER_BYTES, PlatformStore

OK_HEAD = b'HTTP/1.1 200 OK\r\n'
# The buffers of sockets and readers take bytes beyond a bound.
BUFFERED_BYTES = 6_291_456
ENDLESS = {
    'garbage': floods(b'', b'\x00'),
    'empty lines': floods(b'', b'\r\n'),
    'interim': floods(b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'unframed': floods(b'%s\r\n' % OK_HEAD, b'["text"],'),
    'length': floods(b'%sContent-Length: 9999999999\r\n\r\n' % OK_HEAD, b' '),
    'chunked': floods(
        b'%sTransfer-Encoding: chunked\r\n\r\n' % OK_HEAD,
        b'1000\r\n%s\r\n' % bytes(4096),
    ),
}

endless = pytest.mark.parametrize(
    'script', list(ENDLESS.values()), ids=list(ENDLESS)
)


@asynccontextmanager
async def _orders(
    script: Script,
) -> AsyncIterator[tuple[RawPeer, EngineOrders]]:
    async with raw_peer(script) as peer:
        orders = EngineOrders()
        yield peer, orders
        await orders.close_session()


@asynccontextmanager
async def _store(
    script: Script,
) -> AsyncIterator[tuple[RawPeer, PlatformStore]]:
    async with raw_peer(script) as peer:
        store = PlatformStore(peer.address)
        yield peer, store
        await store.close()


@endless
async def test_endless_report_is_no_report(script: Script) -> None:
    async with _orders(script) as (peer, orders):
        asked = engine('i-1', address=peer.address)
        assert await orders.report(asked) is None
        assert peer.sent_bytes < BUFFERED_BYTES


@endless
async def test_order_with_an_endless_answer_has_an_unknown_outcome(
    script: Script,
) -> None:
    async with _orders(script) as (peer, orders):
        ordered = engine('a', address=peer.address)
        outcome = await orders.join(ordered, formation())
        assert outcome is OrderOutcome.UNKNOWN
        assert peer.sent_bytes < BUFFERED_BYTES


@endless
async def test_endless_answer_to_a_read_means_that_the_store_is_unavailable(
    script: Script,
) -> None:
    async with _store(script) as (peer, store):
        with pytest.raises(PlatformUnavailable):
            await store.read('things/one')
        assert peer.sent_bytes < MAX_ANSWER_BYTES + BUFFERED_BYTES
        with pytest.raises(PlatformUnavailable):
            await store.changes('things', StoreVersion(0, 1), 30)
        assert peer.sent_bytes < 2 * (MAX_ANSWER_BYTES + BUFFERED_BYTES)


@endless
async def test_write_with_an_endless_answer_has_an_unknown_outcome(
    script: Script,
) -> None:
    async with _store(script) as (peer, store):
        write = Write('things/one', {'text': 'first'})
        with pytest.raises(OutcomeUnknown):
            await store.commit(Transaction((), (write,)))
        assert peer.sent_bytes < MAX_ANSWER_BYTES + BUFFERED_BYTES


def _answer(body: bytes, fields: bytes = b'') -> Script:
    return answers(
        b'%s%sContent-Length: %d\r\n\r\n%s' % (OK_HEAD, fields, len(body), body)
    )


@pytest.mark.parametrize(
    'body',
    [
        b'{"Rows":[{"Key":"one"}]}',
        b'{"Rows":[{"Table":"things","Key":"one","RowVersion":"x"}]}',
        b'{"Rows":[{"Table":"things","Key":"one"}]}',
        b'{"Rows":[],"RowVersion":"x"}',
        b'{"Rows":[],"RowVersion":1,"HasMore":true}',
        b'{"Rows":[],"RowVersion":1e400}',
        b'[' * 100_000,
    ],
)
async def test_unreadable_answer_means_that_the_store_is_unavailable(
    body: bytes,
) -> None:
    async with _store(_answer(body)) as (_, store):
        with pytest.raises(PlatformUnavailable):
            await store.read_table('things')


async def test_unreadable_changes_mean_that_the_store_is_unavailable() -> None:
    body = b'{"Rows":[{"Key":"one"}],"RowVersion":7}'
    async with _store(_answer(body)) as (_, store):
        with pytest.raises(PlatformUnavailable):
            await store.changes('things', StoreVersion(0, 1), 1)


async def test_pages_without_end_mean_that_the_store_is_unavailable() -> None:
    row = b'{"Table":"things","Key":"one","RowVersion":1}'
    body = b'{"Rows":[%s],"RowVersion":1,"HasMore":true}' % row
    async with _store(_answer(body)) as (_, store):
        with pytest.raises(PlatformUnavailable):
            await store.read_table('things')


async def test_unreadable_era_is_no_era() -> None:
    era = b'%s: %s\r\n' % (names.STORE_ERA.encode(), b'9' * 5000)
    async with _store(_answer(b'{"RowVersion":1}', era)) as (_, store):
        page = await store.read_table('things')
        assert (page.revision, page.era) == (1, 0)


@pytest.mark.parametrize(
    'body', [b'', b'null', b'[]', b'{"group":7}', b'[' * 100_000, b'{"born":']
)
async def test_unreadable_report_is_no_report(body: bytes) -> None:
    async with _orders(_answer(body)) as (peer, orders):
        asked = engine('i-1', address=peer.address)
        assert await orders.report(asked) is None
