"""A router's process holds out against engines that send without end.

Explanation
===========
The bound is the memory of the VM, as the platform counts it: resident memory
and what the sockets hold. How many call is fixed, and no time is judged.
"""

import asyncio
from http import HTTPStatus

import pytest

from ...testing.crowdedrouter import VmLimits
from ...testing.endlessengines import (
    CHUNKED_HEAD,
    ENDLESS,
    OK_HEAD,
    SMALLEST,
    USUAL,
    endless_play,
)
from ...testing.platformsite import POLL_INTERVAL_S
from ...testing.rawpeer import sends
from ..attempt import MAX_RESPONSE_BYTES

pytestmark = pytest.mark.crowd

LIMIT_S = 60
# Most of them reach one of the engines that send the largest response.
SEVERAL = 8
LARGEST = bytes(MAX_RESPONSE_BYTES)
CHUNK = b'10000\r\n%s\r\n' % bytes(65_536)
LARGEST_RESPONSES = {
    'length': b'%sContent-Length: %d\r\n\r\n%s'
    % (OK_HEAD, MAX_RESPONSE_BYTES, LARGEST),
    'chunks': b'%s%s0\r\n\r\n'
    % (CHUNKED_HEAD, CHUNK * (MAX_RESPONSE_BYTES // 65_536)),
    'ends with its connection': b'%s\r\n%s' % (OK_HEAD, LARGEST),
}
# Ended without an answer, or told that the router is full.
NOT_SERVED = frozenset((0, HTTPStatus.INTERNAL_SERVER_ERROR))


@pytest.mark.parametrize('limits', [USUAL, SMALLEST], ids=['usual', 'smallest'])
@pytest.mark.parametrize('name', ENDLESS)
async def test_engines_without_end_leave_the_router_within_its_memory(
    name: str, limits: VmLimits
) -> None:
    async with endless_play(ENDLESS[name], limits) as play:
        await play.play()
        assert play.router.is_alive
        assert play.peak.memory_mb <= limits.memory_mb
        assert not NOT_SERVED.intersection(play.statuses)
        play.mend()
        async with asyncio.timeout(LIMIT_S):
            while await play.router.ordinary_status() != HTTPStatus.OK:
                await asyncio.sleep(POLL_INTERVAL_S)
        play.peak.sample()
        assert play.peak.memory_mb <= limits.memory_mb


@pytest.mark.parametrize('name', LARGEST_RESPONSES)
async def test_largest_response_is_delivered_on_the_smallest_vm(
    name: str,
) -> None:
    script = sends(LARGEST_RESPONSES[name])
    async with endless_play(script, SMALLEST) as play:
        async with play.peak.watching():
            sizes = [await play.body_bytes() for _ in range(SEVERAL)]
        assert MAX_RESPONSE_BYTES in sizes
        assert play.router.is_alive
    assert play.peak.memory_mb <= SMALLEST.memory_mb
