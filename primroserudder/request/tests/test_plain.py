"""Tests of plain services against raw servers on loopback."""

import random
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack

import aiohttp
import pytest

from ...connection.plain import PlainHttp, plain_session
from ...errors import Ran, RudderError
from ...process.clock import LoopClock
from ...process.engines import UpstreamLost
from ...process.invariants import Invariants
from ...process.metrics import Metrics
from ...testing import builders
from ...testing.brokenresponses import BROKEN_HEADS
from ...testing.keyedbench import Heard
from ...testing.sockets import ANSWER, DROP, SHORT_ANSWER, RecordingServer
from ...version.holder import VersionHolder
from ..caller import BadRequest
from ..dispatch import DispatchRecord
from ..plain import NoPlainEndpoint, PlainExecution
from ..servicecall import ServiceCall

BROKEN_NAMES = (
    'status line HTTP/1.1 000 Odd',
    'status line HTTP/1.1 600 Odd',
    'status line HTTP/2.0 200 OK',
    r'field X-Odd: a\x01b in a head',
    'folded seal',
    'name X Odd: 1 in a head',
)
UNUSED = 'http://127.0.0.1:9'
REDIRECT = (
    b'HTTP/1.1 307 Temporary Redirect\r\nLocation: /other\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class Bench:
    """A plain service with its endpoints and its executor."""

    def __init__(self, client: PlainHttp, urls: tuple[str, ...]) -> None:
        holder = VersionHolder()
        holder.offer(builders.version(**builders.with_plain(urls)))
        self.dispatch = DispatchRecord(Invariants(Metrics()), 'req-1')
        self.heard = Heard()
        self.execution = PlainExecution(
            client=client,
            holder=holder,
            clock=LoopClock(),
            metrics=Metrics(),
            rng=random.Random(1),
            failure_domain=builders.DOMAIN,
        )

    async def call(self, method: str = 'GET', **headers: str) -> None:
        await self.execution.execute(
            call(method, headers=headers),
            self.dispatch,
            self.heard,
        )

    async def refusal(self, method: str = 'GET', **headers: str) -> RudderError:
        try:
            await self.call(method, **headers)
        except RudderError as error:
            return self.dispatch.close(error)
        pytest.fail('the call was not refused')


def call(
    method: str = 'GET',
    target: str = '/services/refunds/run?x=1',
    headers: Mapping[str, str] | None = None,
) -> ServiceCall:
    return ServiceCall(
        request_id='req-1',
        workspace=builders.WORKSPACE,
        method=method,
        target=target,
        headers={
            name.replace('_', '-'): value
            for name, value in (headers or {}).items()
        },
        body=b'',
        arrived_at=LoopClock().monotonic(),
        created=0,
    )


@pytest.fixture
async def client() -> AsyncIterator[PlainHttp]:
    async with AsyncExitStack() as stack:
        sessions = [
            await stack.enter_async_context(plain_session(is_pooled=pooled))
            for pooled in (True, False)
        ]
        yield PlainHttp(*sessions)


async def test_bare_library_resends_after_a_dropped_connection() -> None:
    # aiohttp resends a request by default if a reused connection drops. The
    # adapter guards against this.
    server = RecordingServer([ANSWER, DROP])
    async with server.listening() as url, aiohttp.ClientSession() as session:
        await (await session.get(url)).read()
        await (await session.get(url)).read()
    assert len(server.received) == 3


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
@pytest.mark.parametrize('may_repeat', ['true', 'false'])
async def test_request_on_a_dropped_connection_is_sent_once(
    client: PlainHttp,
    method: str,
    may_repeat: str,
) -> None:
    server = RecordingServer([ANSWER, DROP])
    headers = {'Rudder_Idempotent': may_repeat}
    async with server.listening() as url:
        await Bench(client, (url,)).call(method, **headers)
        bench = Bench(client, (url,))
        lost = await bench.refusal(method, **headers)
    assert lost.ran is Ran.UNKNOWN
    assert len(server.received) == 2


async def test_non_idempotent_call_uses_its_own_connection(
    client: PlainHttp,
) -> None:
    server = RecordingServer([])
    async with server.listening() as url:
        for _ in range(3):
            await Bench(client, (url,)).call(Rudder_Idempotent='false')
    assert server.connections == 3


async def test_redirect_is_returned_and_not_followed(
    client: PlainHttp,
) -> None:
    server = RecordingServer([REDIRECT])
    async with server.listening() as url:
        await Bench(client, (url,)).call('PUT')
    assert len(server.received) == 1


async def test_lost_call_is_retried_only_if_it_may_repeat(
    client: PlainHttp,
) -> None:
    runs = {}
    for may_repeat in ('true', 'false'):
        first, second = RecordingServer([DROP]), RecordingServer([DROP])
        async with (
            first.listening() as first_url,
            second.listening() as second_url,
        ):
            bench = Bench(client, (first_url, second_url))
            await bench.refusal(Rudder_Idempotent=may_repeat)
        runs[may_repeat] = len(first.received) + len(second.received)
    assert runs == {'true': 2, 'false': 1}


async def test_not_run_is_reported_only_if_no_byte_was_sent(
    client: PlainHttp,
) -> None:
    bench = Bench(client, (UNUSED,))
    refused = await bench.refusal('POST', Rudder_Idempotent='false')
    assert isinstance(refused, NoPlainEndpoint)
    assert refused.ran is Ran.NO
    assert not bench.dispatch.sent_attempts


async def test_unreachable_endpoint_fails_over_to_the_next(
    client: PlainHttp,
) -> None:
    server = RecordingServer([])
    async with server.listening() as url:
        bench = Bench(client, (UNUSED, url))
        await bench.call('POST', Rudder_Idempotent='false')
    assert bench.heard.parts == [b'ok']
    assert bench.dispatch.sent_attempts == bench.dispatch.open_attempts


async def test_truncated_body_is_an_error(client: PlainHttp) -> None:
    server = RecordingServer([SHORT_ANSWER])
    async with server.listening() as url:
        lost = await Bench(client, (url,)).refusal()
    assert isinstance(lost, UpstreamLost)
    assert lost.ran is Ran.YES


@pytest.mark.parametrize('name', BROKEN_NAMES)
async def test_broken_answer_is_lost(client: PlainHttp, name: str) -> None:
    server = RecordingServer([BROKEN_HEADS[name]])
    async with server.listening() as url:
        bench = Bench(client, (url,))
        lost = await bench.refusal(Rudder_Idempotent='false')
    assert isinstance(lost, UpstreamLost)
    assert lost.ran is Ran.UNKNOWN
    assert len(server.received) == 1
    assert not bench.heard.parts


@pytest.mark.parametrize('name', BROKEN_NAMES)
async def test_call_that_may_repeat_goes_on_after_a_broken_answer(
    client: PlainHttp, name: str
) -> None:
    faulty, sound = RecordingServer([BROKEN_HEADS[name]]), RecordingServer([])
    async with faulty.listening() as first, sound.listening() as second:
        bench = Bench(client, (first, second))
        await bench.call(Rudder_Idempotent='true')
    assert bench.heard.parts == [b'ok']
    assert (len(faulty.received), len(sound.received)) == (1, 1)


async def test_hop_by_hop_headers_are_not_forwarded(
    client: PlainHttp,
) -> None:
    server = RecordingServer([])
    async with server.listening() as url:
        await Bench(client, (url,)).call(
            Connection='X-Hop',
            X_Hop='1',
            Transfer_Encoding='chunked',
            Authorization='Bearer secret',
            Accept_Language='mn',
        )
    head = server.received[0].lower()
    assert head.startswith(b'get /run?x=1 http/1.1\r\n')
    assert b'accept-language: mn' in head
    assert not any(name in head for name in (b'x-hop', b'transfer', b'bearer'))


@pytest.mark.parametrize('path', ['..', '%2e%2E/x', 'a/../b', 'a/%2e'])
async def test_path_with_dot_segments_is_refused(
    client: PlainHttp,
    path: str,
) -> None:
    bench = Bench(client, (UNUSED,))
    dotted_call = call(target=f'/services/refunds/{path}')
    with pytest.raises(BadRequest):
        await bench.execution.execute(dotted_call, bench.dispatch, bench.heard)
