"""A router beside an engine whose responses are broken."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from http import HTTPStatus

import pytest
from loguru import logger

from ...testing.brokenresponses import BROKEN_HEADS
from ...testing.platformsite import (
    POLL_INTERVAL_S,
    PlatformSite,
    platform_site,
)
from ...testing.rawattempts import EVENTS
from ...testing.rawpeer import RawPeer, raw_peer, sends, stays_silent

REPEATABLE = '/lookups/1'
UNREPEATABLE = '/refunds/1'
# No engine has answered it.
ANOTHER_CONTENT = '/refunds/9'
ECHO = b'X-Primroserudder-Attempt-Id: one\r\n'
SEAL = 'X-Primroserudder-Response-Seal'
MOST_REQUESTS = 12
# More than three, with which a content is refused.
SEVERAL = 8
NAMES = (
    'status line HTTP/1.1 000 Odd',
    'status line HTTP/1.1 600 Odd',
    'status line HTTP/2.0 200 OK',
    'status line HTTP/1.1 000 Odd after an interim head',
    r'field X-Odd: a\x01b in a head',
    r'field X-Odd: a\x7fb in a head',
    r'line X-Odd: 1\r\n 2 in a head',
    'folded seal',
)


@dataclass(slots=True)
class _FaultySite:
    """A site beside a raw peer that has the place of an engine."""

    site: PlatformSite
    peer: RawPeer
    bodies: list[bytes] = field(default_factory=list)
    sealed: list[bool] = field(default_factory=list)

    async def status(self, path: str, method: str = 'GET') -> int:
        """Send one request and keep what its caller got."""
        async with self.site.request(path, method, body=b'') as response:
            self.bodies.append(await response.read())
            self.sealed.append(SEAL in response.headers)
            return response.status

    async def served(self, requests: int) -> int:
        """Return how many of some requests are served."""
        statuses = [await self.status(UNREPEATABLE) for _ in range(requests)]
        return statuses.count(HTTPStatus.OK)

    async def statuses(self, path: str, method: str = 'GET') -> set[int]:
        """Return the statuses of requests that reached the peer alone."""
        reached: set[int] = set()
        for _ in range(MOST_REQUESTS):
            connections = self.peer.connections
            status = await self.status(path, method)
            if self.peer.connections > connections:
                reached.add(status)
        return reached


@asynccontextmanager
async def _faulty_site(
    response: bytes, plain: int
) -> AsyncIterator[_FaultySite]:
    """Run a site whose engine sends this response, however it is asked."""
    script = sends(response.replace(ECHO, b''), then=stays_silent)
    async with (
        platform_site(engines=0, plain=plain) as site,
        raw_peer(script) as peer,
    ):
        faulty = _FaultySite(site, peer)
        while await faulty.status(REPEATABLE) != HTTPStatus.OK:
            await asyncio.sleep(POLL_INTERVAL_S)
        engine = list(site.engines_by_id.values())[-1]
        engine.address = peer.address
        engine.register()
        while not peer.connections:
            await faulty.status(UNREPEATABLE)
        faulty.bodies.clear()
        faulty.sealed.clear()
        yield faulty


@pytest.fixture
def decisions() -> Iterator[list[dict[str, object]]]:
    """Collect the lines of the decision log."""
    lines: list[dict[str, object]] = []

    def keep(message: str) -> None:
        extra = getattr(message, 'record')['extra']
        lines.append(extra.get('line', {}))

    sink = logger.add(keep)
    yield lines
    logger.remove(sink)


broken = pytest.mark.parametrize(
    'response', [BROKEN_HEADS[name] for name in NAMES], ids=NAMES
)


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@broken
async def test_request_that_may_repeat_is_served_by_another_engine(
    response: bytes, method: str
) -> None:
    async with _faulty_site(response, plain=2) as faulty:
        assert await faulty.statuses(REPEATABLE, method) == {HTTPStatus.OK}
        assert EVENTS not in faulty.bodies


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@broken
async def test_request_that_must_not_repeat_may_have_run(
    response: bytes, method: str
) -> None:
    async with _faulty_site(response, plain=1) as faulty:
        statuses = await faulty.statuses(UNREPEATABLE, method)
        assert statuses == {HTTPStatus.BAD_GATEWAY}
        assert EVENTS not in faulty.bodies
        assert not any(faulty.sealed)


async def test_content_of_a_request_is_not_blamed_for_broken_answers() -> None:
    # Three engines that ended under a content would have it refused.
    script = sends(BROKEN_HEADS[NAMES[0]].replace(ECHO, b''))
    async with (
        platform_site(engines=0, plain=3) as site,
        raw_peer(script) as peer,
    ):
        faulty = _FaultySite(site, peer)
        while await faulty.status(REPEATABLE) != HTTPStatus.OK:
            await asyncio.sleep(POLL_INTERVAL_S)
        engines = tuple(site.engines_by_id.values())
        sound_address = engines[0].address
        for engine in engines:
            engine.address = peer.address
            engine.register()
        while await faulty.served(len(engines)) > 0:
            await asyncio.sleep(POLL_INTERVAL_S)
        peer.connections = 0
        while peer.connections < SEVERAL:
            await faulty.status(ANOTHER_CONTENT)
        engines[0].address = sound_address
        engines[0].register()
        while await faulty.status(ANOTHER_CONTENT) != HTTPStatus.OK:
            await asyncio.sleep(POLL_INTERVAL_S)
    assert not any(b'quarantined' in body for body in faulty.bodies)


async def test_broken_answer_is_logged_with_its_engine_and_cause(
    decisions: list[dict[str, object]],
) -> None:
    response = BROKEN_HEADS[NAMES[0]]
    async with _faulty_site(response, plain=1) as faulty:
        await faulty.statuses(UNREPEATABLE)
    lines = [
        line for line in decisions if line['decision'] == 'broken_response'
    ]
    assert lines
    assert {line['engine'] for line in lines} == {'i-0'}
    assert {line['reason'] for line in lines} == {
        'a status outside 100 to 599: 000'
    }
