"""Engines that send bytes without end to a real router."""

import asyncio
import itertools
from collections import Counter
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field
from types import MappingProxyType

from aiohttp import ClientError, ClientResponse

from .crowdcallers import Peak
from .crowdedrouter import CrowdedRouter, VmLimits, crowded_router
from .platformsite import HOST, KEY
from .rawpeer import RawPeer, Script, floods, raw_peer

# The smallest VM of a platform that was measured, and a usual one.
SMALLEST = VmLimits(memory_mb=152)
USUAL = VmLimits(memory_mb=300)
FAULTY_ENGINES = 3
CALLERS = 200
REQUESTS = 1000
PATHS = ('/lookups/', '/refunds/')
NO_ANSWER = 0
OK_HEAD = b'HTTP/1.1 200 OK\r\nX-Primroserudder-Response-Seal: seal\r\n'
ERROR_HEAD = OK_HEAD.replace(b'200 OK', b'500 Internal Server Error')
CHUNKED_HEAD = b'%sTransfer-Encoding: chunked\r\n\r\n' % OK_HEAD
PIECE = bytes(4096)
ENDLESS: Mapping[str, Script] = MappingProxyType(
    {
        'body': floods(b'%s\r\n' % OK_HEAD, PIECE),
        'length': floods(
            b'%sContent-Length: 100000000000\r\n\r\n' % OK_HEAD, PIECE
        ),
        'chunks': floods(CHUNKED_HEAD, b'1000\r\n%s\r\n' % PIECE),
        'small chunks': floods(CHUNKED_HEAD, b'1\r\nx\r\n'),
        'error': floods(b'%s\r\n' % ERROR_HEAD, PIECE),
        'no head': floods(b'', PIECE),
        'interim': floods(b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        'fields': floods(OK_HEAD, b'name: text\r\n'),
        'trailers': floods(b'%s0\r\n' % CHUNKED_HEAD, b'name: text\r\n'),
        'extension': floods(b'%s1000;name' % CHUNKED_HEAD, b'x'),
    }
)


@dataclass(slots=True)
class EndlessPlay:
    """A router, most of whose plain engines send without end."""

    router: CrowdedRouter
    peer: RawPeer
    peak: Peak
    statuses: Counter[int] = field(default_factory=Counter)
    sound_addresses: Mapping[str, str] = field(default_factory=dict)
    _numbers: 'itertools.count[int]' = field(default_factory=itertools.count)

    async def play(
        self, callers: int = CALLERS, requests: int = REQUESTS
    ) -> None:
        """Send so many requests, so many at a time."""
        shares = itertools.repeat(requests // callers, callers)
        async with self.peak.watching():
            await asyncio.gather(*map(self._call, shares))

    def mend(self) -> None:
        """Give the faulty engines their sound addresses back."""
        for engine_id, address in self.sound_addresses.items():
            engine = self.router.site.engines_by_id[engine_id]
            engine.address = address
            engine.register()

    async def body_bytes(self, method: str = 'GET') -> int:
        """Send one request, and return the size of the body it gets."""
        async with self._request(PATHS[0], method) as answer:
            sizes = [len(octets) async for octets in answer.content.iter_any()]
            return sum(sizes)

    async def _call(self, requests: int) -> None:
        for number in itertools.islice(self._numbers, requests):
            kind = PATHS[number % len(PATHS)]
            path = ''.join((kind, str(number)))
            self.statuses[await self._status(path)] += 1

    async def _status(self, path: str) -> int:
        try:
            async with self._request(path) as answer:
                await answer.read()
                return answer.status
        except (ClientError, OSError):
            return NO_ANSWER

    def _request(
        self, path: str, method: str = 'GET'
    ) -> AbstractAsyncContextManager[ClientResponse]:
        callers = self.router.callers
        url = f'http://{callers}{path}'
        fields = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            'X-Primroserudder-Attempt-Id': path,
            'X-Primroserudder-Model': 'small',
        }
        return self.router.session.request(method, url, headers=fields)


@asynccontextmanager
async def endless_play(
    script: Script, limits: VmLimits = USUAL
) -> AsyncIterator[EndlessPlay]:
    """Run a router with a sound plain engine and several faulty ones."""
    async with (
        crowded_router(limits, plain=FAULTY_ENGINES + 1) as router,
        raw_peer(script) as peer,
    ):
        play = EndlessPlay(router, peer, Peak(router.process.pid))
        play.sound_addresses = _replace(router, peer)
        while not peer.connections:
            await router.ordinary_status()
        yield play


def _replace(router: CrowdedRouter, peer: RawPeer) -> Mapping[str, str]:
    """Let all plain engines but one be a peer; return their addresses."""
    plain: Sequence[str] = [
        engine_id
        for engine_id, engine in router.site.engines_by_id.items()
        if engine.is_plain
    ]
    addresses: dict[str, str] = {}
    for engine_id in plain[:FAULTY_ENGINES]:
        engine = router.site.engines_by_id[engine_id]
        addresses[engine_id] = engine.address
        engine.address = peer.address
        engine.register()
    return addresses
