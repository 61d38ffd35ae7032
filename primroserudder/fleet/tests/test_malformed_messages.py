"""No malformed message from outside ends the process or spoils a port."""

import asyncio
import json
import os
import random
import socket
from collections.abc import Iterator

import pytest

from ...testing.platformsite import PlatformSite, platform_site
from ...testing.rawcaller import raw_caller
from ..membership.notice import Direction, Notice, encode_notice

ODD_VALUES: tuple[object, ...] = (
    None,
    True,
    -1,
    0,
    1e308,
    10**30,
    '',
    'x',
    'ü' * 300,
    [],
    [None],
    {},
    {'x': []},
)


@pytest.fixture(autouse=True)
def _exits(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Record exits of the process, which would end the tests."""
    codes: list[int] = []
    monkeypatch.setattr(os, '_exit', codes.append)
    return codes


async def _check_serving(site: PlatformSite, exits: list[int]) -> None:
    assert not exits
    for task in site.routers[0].supervisor.tasks:
        assert not task.done()
    async with raw_caller(site) as caller:
        caller.request('last', '/refunds/1')
        async with asyncio.timeout(5):
            assert (await caller.response()).status == 200


async def _wait_until_serving(site: PlatformSite) -> None:
    directory = site.routers[0].view.directory
    await site.until(lambda: len(directory.targets_by_pool()) == 2)


async def _exchange(address: str, octets: bytes) -> bytes:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(octets)
    async with asyncio.timeout(5):
        received = await reader.readuntil(b'\r\n')
    writer.close()
    return received


@pytest.mark.parametrize(
    'query',
    [
        'since=many',
        'era=-',
        'wait=x',
        'wait=nan',
        'wait=inf',
        'wait=-1',
        'wait=1e400',
    ],
)
async def test_table_relay_refuses_malformed_queries_with_400(
    query: str, _exits: list[int], caplog: pytest.LogCaptureFixture
) -> None:
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        router = site.routers[0]
        target = f'GET /tables/servers?{query} HTTP/1.1\r\nHost: x\r\n\r\n'
        received = await _exchange(
            router.settings.exchange_endpoint, target.encode()
        )
        assert b' 400 ' in received
        assert not any(record.exc_info for record in caplog.records)
        await _check_serving(site, _exits)


@pytest.mark.parametrize(
    'octets',
    [b'\x00\xff\r\n\r\n', b'GET / HTTP/1.1\r\nHost x\r\n\r\n'],
    ids=['line', 'field'],
)
async def test_malformed_requests_harm_no_inner_port(
    octets: bytes, _exits: list[int], caplog: pytest.LogCaptureFixture
) -> None:
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        settings = site.routers[0].settings
        for address in (settings.readiness, settings.exchange_endpoint):
            assert b' 400 ' in await _exchange(address, octets)
        ready = b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n'
        assert b' 200 ' in await _exchange(settings.readiness, ready)
        await _check_serving(site, _exits)
        assert not any(record.exc_info for record in caplog.records)


def _odd_datagrams(sample: bytes) -> Iterator[bytes]:
    rng = random.Random(1)
    yield from (b'', b'\x00', b'{}', b'[]', b'null', b'\xff' * 1400)
    for _ in range(400):
        changed = bytearray(sample)
        for _ in range(rng.randrange(1, 6)):
            changed[rng.randrange(len(changed))] = rng.randrange(256)
        yield bytes(changed[: rng.randrange(1, len(changed) + 1)])


async def test_malformed_notices_harm_no_router(_exits: list[int]) -> None:
    async with platform_site(engines=2, plain=1, routers=2) as site:
        await _wait_until_serving(site)
        exchange = site.routers[0].exchange
        sent: list[bytes] = []
        transmit = exchange.sender.transmit

        def keep(packet: bytes, address: str) -> None:
            sent.append(packet)
            transmit(packet, address)

        exchange.sender.transmit = keep
        await site.until(lambda: len(sent) > 3)
        errors: list[object] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for sample in sent[:4]:
                for packet in _odd_datagrams(sample):
                    sender.sendto(packet, exchange.address)
                    await asyncio.sleep(0)
        await asyncio.sleep(0.3)
        assert not errors
        await _check_serving(site, _exits)


@pytest.mark.parametrize('origin', ['odd', 'odd:1', '127.0.0.1:70000'])
async def test_notice_with_an_odd_origin_harms_no_router(
    origin: str, _exits: list[int]
) -> None:
    async with platform_site(engines=2, plain=1) as site:
        await _wait_until_serving(site)
        exchange = site.routers[0].exchange
        notice = Notice(
            Direction.QUESTION, 7, 1, failure_domain='fd-1', origin=origin
        )
        exchange.datagram_received(encode_notice(notice), ('127.0.0.1', 9))
        await asyncio.sleep(0.3)
        assert exchange.unreadable_datagrams
        await _check_serving(site, _exits)


def _odd_rows(sample: dict[str, object]) -> Iterator[bytes]:
    yield from (b'', b'\xff\x00', b'[]', b'null', b'"x"', b'7')
    for name in sample:
        for odd in ODD_VALUES:
            yield json.dumps({**sample, name: odd}).encode()
    yield b'{}'


@pytest.mark.parametrize('table', ['servers', 'nodes', 'strikes', 'op'])
async def test_malformed_rows_harm_no_router(
    table: str, _exits: list[int]
) -> None:
    async with platform_site(engines=4, plain=1) as site:
        await _wait_until_serving(site)
        rows = site.store.rows
        keys = [key for known, key in rows.rows_by_id if known == table]
        sample = rows.fields(table, keys[0]) if keys else None
        for number, octets in enumerate(_odd_rows(dict(sample or {'x': 1}))):
            key = 'config' if table == 'op' else f'odd-{number}'
            rows.put_raw(table, key, octets)
            if number % 20 == 0:
                await asyncio.sleep(0.02)
        await asyncio.sleep(1.5)
        await _check_serving(site, _exits)
