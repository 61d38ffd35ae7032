"""A router beside engines that send bytes without end."""

import asyncio
from collections import Counter
from http import HTTPStatus

import pytest
from aiohttp import ClientError

from ...testing.platformsite import (
    POLL_INTERVAL_S,
    PlatformSite,
    platform_site,
)
from ...testing.rawpeer import Script, floods, raw_peer

OK_HEAD = b'HTTP/1.1 200 OK\r\nX-Primroserudder-Response-Seal: seal\r\n'
ENDLESS = {
    'garbage': floods(b'', b'\x00'),
    'empty lines': floods(b'', b'\r\n'),
    'interim': floods(b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'header': floods(OK_HEAD, b'name: text\r\n'),
    'body': floods(b'%s\r\n' % OK_HEAD, b'x'),
    'chunk': floods(
        b'%sTransfer-Encoding: chunked\r\n\r\n1;name' % OK_HEAD, b'x'
    ),
}
BROKEN_OFF = 0
# An attempt that may have run is retried only where that is allowed, and a
# request may find no free slot while a failing engine is avoided.
EXPECTED_STATUSES = frozenset(
    (
        HTTPStatus.OK,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)

endless = pytest.mark.parametrize(
    'script', list(ENDLESS.values()), ids=list(ENDLESS)
)


async def _status(site: PlatformSite, path: str) -> int:
    try:
        async with site.request(path) as response:
            await response.read()
            return response.status
    except ClientError:
        return BROKEN_OFF


async def _statuses(
    site: PlatformSite, path: str, requests: int
) -> Counter[int]:
    return Counter(
        await asyncio.gather(*(_status(site, path) for _ in range(requests)))
    )


@endless
async def test_requests_are_served_beside_an_engine_without_end(
    script: Script,
) -> None:
    async with (
        platform_site(engines=0, plain=2) as site,
        raw_peer(script) as peer,
    ):
        while await _status(site, '/lookups/1') != HTTPStatus.OK:
            await asyncio.sleep(POLL_INTERVAL_S)
        faulty = site.engines_by_id['i-1']
        faulty.address = peer.address
        faulty.register()
        while not peer.connections:
            await _status(site, '/refunds/1')
        lookups = await _statuses(site, '/lookups/1', 12)
        refunds = await _statuses(site, '/refunds/1', 12)
        assert set(lookups) <= EXPECTED_STATUSES
        assert set(refunds) <= EXPECTED_STATUSES
        assert lookups[HTTPStatus.OK]
        assert refunds[HTTPStatus.OK]
