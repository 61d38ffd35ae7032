"""Answers of the store and of engines that are outside the grammar of HTTP."""

from collections.abc import Mapping

import pytest

from ...process.platform import (
    OutcomeUnknown,
    PlatformUnavailable,
    Transaction,
    Write,
)
from ...testing.brokenresponses import BROKEN_BODIES, BROKEN_HEADS
from ...testing.fleetdata import engine, formation
from ...testing.rawattempts import EVENTS
from ...testing.rawpeer import raw_peer, sends
from ..orders import EngineOrders, OrderOutcome
from ..store import PlatformStore

# As long as the body of the broken responses, in whose place it stands.
ROWS = b'{"Rows":[],"RowVersion":12345}'
BROKEN: Mapping[str, bytes] = {**BROKEN_HEADS, **BROKEN_BODIES}
NAMES = (
    'status line HTTP/1.1 000 Odd',
    'status line HTTP/2.0 200 OK',
    'name X Odd: 1 in a head',
    r'field X-Odd: a\x01b in a head',
    r'field X-Odd: a\x01b in an interim head',
    r'line X-Odd: 1\r\n 2 in a head',
    r'framing Transfer-Encoding: gzip\r\n',
    'chunk 1e ',
    r'field X-Odd: a\x01b in a trailer',
)

broken = pytest.mark.parametrize(
    'response',
    [BROKEN[name].replace(EVENTS, ROWS) for name in NAMES],
    ids=NAMES,
)


@broken
async def test_broken_answer_means_that_the_store_is_unavailable(
    response: bytes,
) -> None:
    assert len(ROWS) == len(EVENTS)
    async with raw_peer(sends(response)) as peer:
        store = PlatformStore(peer.address)
        with pytest.raises(PlatformUnavailable):
            await store.read_table('things')
        await store.close()


@broken
async def test_write_with_a_broken_answer_has_an_unknown_outcome(
    response: bytes,
) -> None:
    async with raw_peer(sends(response)) as peer:
        store = PlatformStore(peer.address)
        write = Write('things/one', {'text': 'first'})
        with pytest.raises(OutcomeUnknown):
            await store.commit(Transaction((), (write,)))
        await store.close()


@broken
async def test_order_with_a_broken_answer_has_an_unknown_outcome(
    response: bytes,
) -> None:
    async with raw_peer(sends(response)) as peer:
        orders = EngineOrders()
        ordered = engine('a', address=peer.address)
        assert await orders.join(ordered, formation()) is OrderOutcome.UNKNOWN
        await orders.close_session()
