"""Entries and controllers beside peers whose responses are broken."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import pytest

from ...connection.enginehttp import EngineHttp
from ...process.engines import (
    EngineCall,
    UpstreamLost,
    UpstreamUnreachable,
)
from ...process.platform import PlatformUnavailable
from ...process.settings import Listener, NodeSettings, PlatformSettings
from ...testing.brokenresponses import BROKEN_BODIES, BROKEN_HEADS, SOUND
from ...testing.rawattempts import EVENTS
from ...testing.rawpeer import RawPeer, Script, floods, raw_peer, sends
from ..node import NodeRuntime

CALL = EngineCall('req-1', 2, 'g0', 1, '/v1/completions', b'')
ECHO = b'X-Primroserudder-Attempt-Id: one\r\n'
ENGINE_ECHO = b'Engine-Request-Id: req-1\r\nEngine-Attempt: 2\r\n'
OK_HEAD = b'HTTP/1.1 200 OK\r\n%s' % ENGINE_ECHO
CHUNKED_HEAD = b'%sTransfer-Encoding: chunked\r\n\r\n' % OK_HEAD
# The buffers of sockets and readers take bytes beyond a bound.
MOST_SENT_BYTES = 6_291_456
# A version of the configuration may be so large.
MOST_ANSWER_BYTES = 16_777_216
LIMIT_S = 10
ROW = b'{"row": ["one", 1, {"text": "first"}]}'
ENDLESS_FRAMING = {
    'empty lines': floods(b'', b'\r\n'),
    'interim': floods(b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'spaces': floods(b'HTTP/1.1 200 OK\r\nname:', b' '),
    'folded lines': floods(b'HTTP/1.1 200 OK\r\nname:', b'\r\n '),
    'extension': floods(b'%s4;name' % CHUNKED_HEAD, b's'),
    'zeros': floods(CHUNKED_HEAD, b'0'),
}
ENDLESS_BODIES = {
    'unframed': floods(b'%s\r\n' % OK_HEAD, b'["text"],'),
    'length': floods(b'%sContent-Length: 99999999999\r\n\r\n' % OK_HEAD, b' '),
    'chunks': floods(CHUNKED_HEAD, b'1000\r\n%s\r\n' % bytes(4096)),
}
NAMES = (
    'status line HTTP/1.1 000 Odd',
    'status line HTTP/2.0 200 OK',
    r'field X-Odd: a\x01b in a head',
    r'line X-Odd: 1\r\n 2 in a head',
    'name X Odd: 1 in a head',
    r'framing Transfer-Encoding: gzip\r\n',
    'chunk 1e ',
    r'field X-Odd: a\x01b in a trailer',
)
# The engines of this protocol answer with 200 alone.
RARE = [name for name in SOUND if name != 'status 299']
BROKEN: Mapping[str, bytes] = {**BROKEN_HEADS, **BROKEN_BODIES}


def _cases(by_name: Mapping[str, Script]) -> pytest.MarkDecorator:
    return pytest.mark.parametrize(
        'script', list(by_name.values()), ids=list(by_name)
    )


broken = pytest.mark.parametrize('name', NAMES)


@asynccontextmanager
async def _node(script: Script) -> AsyncIterator[tuple[RawPeer, NodeRuntime]]:
    """Run the clients of a process whose peers all follow a script."""
    async with raw_peer(script) as peer:
        settings = NodeSettings(
            node_id='entry-1',
            failure_domain='fd-1',
            platform=PlatformSettings(url=f'http://{peer.address}'),
            operators=Listener(port=0),
            operators_token='operators-token',
            peers=Listener(port=0),
        )
        node = NodeRuntime(settings, 'entry')
        await node.open_clients()
        async with node.stack, asyncio.timeout(LIMIT_S):
            yield peer, node


async def _generated(node: NodeRuntime, address: str) -> bytes:
    engines = EngineHttp(node.session)
    async with engines.generate(address, CALL) as answer:
        return b''.join([part async for part in answer.chunks()])


@broken
async def test_engine_that_sends_a_broken_answer_is_lost(name: str) -> None:
    script = sends(BROKEN[name].replace(ECHO, ENGINE_ECHO))
    async with _node(script) as (peer, node):
        with pytest.raises(UpstreamLost):
            await _generated(node, peer.address)


@pytest.mark.parametrize('name', RARE)
async def test_rare_answer_of_an_engine_is_read_whole(name: str) -> None:
    script = sends(SOUND[name].replace(ECHO, ENGINE_ECHO))
    async with _node(script) as (peer, node):
        assert await _generated(node, peer.address) == EVENTS


@_cases(ENDLESS_FRAMING)
async def test_engine_that_sends_no_body_without_end_is_lost(
    script: Script,
) -> None:
    async with _node(script) as (peer, node):
        with pytest.raises(UpstreamLost):
            await _generated(node, peer.address)
        assert peer.sent_bytes < MOST_SENT_BYTES


@_cases({**ENDLESS_FRAMING, **ENDLESS_BODIES})
async def test_endless_status_of_an_engine_is_none(script: Script) -> None:
    async with _node(script) as (peer, node):
        engines = EngineHttp(node.session)
        with pytest.raises(UpstreamUnreachable):
            await engines.status(peer.address)
        assert peer.sent_bytes < MOST_SENT_BYTES


@_cases({**ENDLESS_FRAMING, **ENDLESS_BODIES})
async def test_endless_answer_of_the_platform_is_none(script: Script) -> None:
    async with _node(script) as (peer, node):
        with pytest.raises(PlatformUnavailable):
            await node.platform.read('things/one')
        assert peer.sent_bytes < MOST_ANSWER_BYTES + MOST_SENT_BYTES


@broken
async def test_broken_answer_of_the_platform_is_none(name: str) -> None:
    response = BROKEN[name].replace(b'Length: 30', b'Length: %d' % len(ROW))
    script = sends(response.replace(b'1e', b'26').replace(EVENTS, ROW))
    async with _node(script) as (_, node):
        with pytest.raises(PlatformUnavailable):
            await node.platform.read('things/one')
