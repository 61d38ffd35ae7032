"""Callers that speak HTTP in unusual, slow or broken ways."""

import asyncio
import gzip
from collections.abc import Mapping

import pytest

from ...testing.configchanges import with_route
from ...testing.platformsite import PlatformSite, configuration, platform_site
from ...testing.rawcaller import RawCaller, RawResponse, head, raw_caller
from .. import httpserver

LONG_BODY = b'x' * 1_000_000
LOOKUP = '/lookups/1'


async def _wait_until_serving(site: PlatformSite) -> None:
    directory = site.routers[0].view.directory
    await site.until(lambda: len(directory.targets_by_pool()) == 1)


async def _response(caller: RawCaller) -> RawResponse:
    async with asyncio.timeout(5):
        return await caller.response()


def _received_body(site: PlatformSite, attempt_id: str) -> bytes:
    return next(
        received.body
        for engine in site.engines_by_id.values()
        for received in engine.received_requests
        if received.attempt_id == attempt_id
    )


def _head_with_length(attempt_id: str, path: str, length: int) -> bytes:
    return head(attempt_id, path, fields={'Content-Length': str(length)})


def _has_no_violation(site: PlatformSite) -> bool:
    return not site.routers[0].dump()['violations']


async def test_caller_that_waits_for_100_continue_is_served() -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        async with raw_caller(site) as caller:
            fields = {'Content-Length': '4', 'Expect': '100-continue'}
            caller.send(head('one', LOOKUP, fields=fields))
            async with asyncio.timeout(5):
                invitation = await caller.reader.readuntil(b'\r\n\r\n')
            assert invitation.startswith(b'HTTP/1.1 100 ')
            caller.send(b'text')
            assert (await _response(caller)).status == 200
        assert _received_body(site, 'one') == b'text'


async def test_refused_caller_is_not_told_to_continue() -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        async with raw_caller(site) as caller:
            fields = {'Content-Length': '4', 'Expect': '100-continue'}
            caller.send(head('one', '/nowhere/1', fields=fields))
            response = await _response(caller)
        assert response.status == 404
        # Whether the body still comes is unknown, so no request may follow.
        assert b'connection: close' in response.head.lower()


@pytest.mark.parametrize(
    'body',
    [gzip.compress(b'text', mtime=0), b'not gzip'],
    ids=['gzip', 'not gzip'],
)
async def test_encoded_body_reaches_the_engine_unchanged(body: bytes) -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        coding = {'Content-Encoding': 'gzip'}
        async with raw_caller(site) as caller:
            caller.request('one', LOOKUP, body=body, fields=coding)
            assert (await _response(caller)).status == 200
        assert _received_body(site, 'one') == body


async def test_malformed_chunk_is_answered_400() -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        async with raw_caller(site) as caller, raw_caller(site) as other:
            chunked = {'Transfer-Encoding': 'chunked'}
            caller.send(head('one', LOOKUP, fields=chunked))
            caller.send(b'4\r\ntext\r\n')
            await asyncio.sleep(0.1)
            caller.send(b'zz\r\n')
            response = await _response(caller)
            assert response.status == 400
            assert b'malformed_body' in response.body
            async with asyncio.timeout(5):
                assert not await caller.reader.read()
            other.request('two', LOOKUP)
            assert (await _response(other)).status == 200
        assert not site.arrivals('one')
        assert _has_no_violation(site)


@pytest.mark.parametrize(
    'octets',
    [
        b'no request at all\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost one.example\r\n\r\n',
        b'GET /\x00 HTTP/1.1\r\nHost: one.example\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n',
        b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
        b'GET / HTTP/1.1\r\nX: %b\r\n\r\n' % (70_000 * b'x'),
        b'GET / HTTP/1.1\r\n%b\r\n' % (200 * b'X: x\r\n'),
    ],
    ids=[
        'line',
        'field',
        'null',
        'lengths',
        'length',
        'TLS',
        'long field',
        'many fields',
    ],
)
async def test_malformed_request_is_answered_400_and_harms_no_other(
    octets: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        async with raw_caller(site) as caller, raw_caller(site) as other:
            caller.send(octets)
            response = await _response(caller)
            assert response.status in {400, 431}
            other.request('two', LOOKUP)
            assert (await _response(other)).status == 200
        assert not any(each.exc_info for each in caplog.records)
        metrics = site.routers[0].metrics
        assert metrics.value('malformed_requests') == 1


@pytest.mark.parametrize(
    ('framing', 'first_part'),
    [
        ({'Content-Length': '10'}, b'text'),
        ({'Transfer-Encoding': 'chunked'}, b'4\r\ntext\r\n'),
    ],
    ids=['length', 'chunked'],
)
async def test_body_that_stops_midway_is_refused_at_the_routes_timeout(
    framing: Mapping[str, str], first_part: bytes
) -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        fast = with_route(2, 'lookups', TimeoutMs=300)
        site.store.rows.put('op', 'config', fast)
        await site.until(lambda: _version(site) == 2)
        async with raw_caller(site) as caller:
            caller.send(head('one', LOOKUP, fields=framing))
            caller.send(first_part)
            response = await _response(caller)
        assert response.status == 408
        assert b'"ran":"no"' in response.body
        assert _has_no_violation(site)


@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/nowhere/1', 'known', 404), (LOOKUP, 'unknown', 401)],
)
async def test_refusal_is_readable_while_a_long_body_is_being_sent(
    is_kept: bool, path: str, key: str, status: int
) -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        async with raw_caller(site) as caller:
            if is_kept:
                caller.request('zero', LOOKUP)
                assert (await _response(caller)).status == 200
            fields = {'Content-Length': str(len(LONG_BODY))}
            if key == 'unknown':
                fields['Authorization'] = 'Bearer nobody'
            caller.send(head('one', path, fields=fields))
            caller.send(LONG_BODY[:1000])
            await asyncio.sleep(0.1)
            caller.send(LONG_BODY[1000:])
            await caller.writer.drain()
            assert (await _response(caller)).status == status
            caller.request('two', LOOKUP)
            assert (await _response(caller)).status == 200


@pytest.mark.parametrize('is_chunked', [False, True])
async def test_refusal_of_a_body_over_the_limit_is_readable(
    is_chunked: bool,
) -> None:
    async with platform_site(engines=0, plain=1) as site:
        limits = configuration(2, Limits={'MaxBodyBytes': 1000})
        site.store.rows.put('op', 'config', limits)
        await _wait_until_serving(site)
        async with raw_caller(site) as caller:
            if is_chunked:
                chunked = {'Transfer-Encoding': 'chunked'}
                caller.send(head('one', LOOKUP, fields=chunked))
                caller.send(b'%x\r\n%b\r\n0\r\n\r\n' % (1_000_000, LONG_BODY))
            else:
                caller.send(_head_with_length('one', LOOKUP, 1_000_000))
                caller.send(LONG_BODY)
            await caller.writer.drain()
            assert (await _response(caller)).status == 413
            caller.request('two', LOOKUP)
            assert (await _response(caller)).status == 200


async def test_refusal_without_configuration_is_readable() -> None:
    async with platform_site(0, 1, is_configured=False) as site:
        async with raw_caller(site) as caller:
            caller.send(_head_with_length('one', LOOKUP, len(LONG_BODY)))
            caller.send(LONG_BODY)
            await caller.writer.drain()
            assert (await _response(caller)).status == 503


async def test_pipelined_requests_are_answered_in_their_order() -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        names = [f'one-{number}' for number in range(50)]
        async with raw_caller(site) as caller:
            for name in names:
                caller.request(name, LOOKUP)
            heads = [(await _response(caller)).head for _ in names]
        assert all(
            f'Attempt-Id: {name}\r\n'.encode() in received
            for name, received in zip(names, heads, strict=True)
        )


async def test_request_sent_just_as_the_answer_ends_is_answered() -> None:
    async with platform_site(engines=2, plain=0) as site:
        await _wait_until_serving(site)
        async with raw_caller(site) as caller:
            for number in range(30):
                caller.request(f'one-{number}')
                await caller.reader.readuntil(b'id: 5')
                caller.request(f'two-{number}')
                await caller.reader.readuntil(b'0\r\n\r\n')
                assert (await _response(caller)).status == 200


async def test_request_inside_an_upgrade_is_no_request() -> None:
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        async with raw_caller(site) as caller:
            inner = _head_with_length('inner', LOOKUP, 0)
            upgrade = {'Connection': 'Upgrade', 'Upgrade': 'websocket'}
            caller.request('one', LOOKUP, body=inner, fields=upgrade)
            assert (await _response(caller)).status == 200
            caller.request('two', LOOKUP)
            assert (await _response(caller)).status == 200
        assert _received_body(site, 'one') == inner
        assert not site.arrivals('inner')


async def test_idle_connection_is_kept_as_long_as_the_configuration_allows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Callers use a connection again after up to four fifths of the limit.
    monkeypatch.setattr(httpserver, 'MIN_KEEPALIVE_S', 0.2)
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        async with raw_caller(site) as caller:
            caller.request('one', LOOKUP)
            assert (await _response(caller)).status == 200
            longer = configuration(2, Limits={'IdleTimeoutMs': 1500})
            site.store.rows.put('op', 'config', longer)
            await asyncio.sleep(1.2)
            caller.request('two', LOOKUP)
            assert (await _response(caller)).status == 200
            async with asyncio.timeout(5):
                assert not await caller.reader.read()


async def test_caller_that_closes_its_sending_side_counts_as_gone() -> None:
    # A caller that closed its connection can't be told from one that only
    # ended its sending side; engines must not work on for the former.
    async with platform_site(engines=0, plain=1) as site:
        await _wait_until_serving(site)
        engine = site.engines_by_id['i-0']
        engine.faults.never_answers = True
        endings = site.routers[0].ports.handler.endings
        async with raw_caller(site) as caller:
            caller.request('one', LOOKUP)
            await site.until(lambda: bool(site.arrivals('one')))
            caller.writer.write_eof()
            async with asyncio.timeout(5):
                assert not await caller.reader.read()
                await site.until(lambda: engine.cancelled == 1)
        assert endings.dump()['endings'] == {
            'answered': 0,
            'refused': 0,
            'aborted': 0,
            'caller gone': 1,
        }


def _version(site: PlatformSite) -> int:
    current = site.routers[0].view.configuration()
    return current.version if current else 0


async def test_broken_off_stream_to_an_old_caller_never_looks_complete() -> (
    None
):
    # HTTP/1.0 has no chunks: there a stream ends with its connection.
    async with platform_site(engines=2, plain=0) as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.faults.cuts_after_events = 1
        async with raw_caller(site) as caller:
            octets = _head_with_length('one', '/notes/1', 4)
            caller.send(octets.replace(b'HTTP/1.1', b'HTTP/1.0'))
            caller.send(b'text')
            with pytest.raises(ConnectionResetError):
                await caller.reader.read()
