"""A model of the links between VMs, for sites in virtual time."""

import asyncio
import random
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Protocol, cast

from aiohttp import ClientConnectionError, ClientTimeout, web

from ..fleet.relaying.tablerelay import TableRelay
from .modelstore import CutStore

LINK_S = (0.002, 0.06)
# Longer than any caller of a silent VM waits.
SILENCE_S = 60.0


class LinkedVm(Protocol):
    """What links need to know of a VM."""

    relay: TableRelay
    store: CutStore
    is_alive: bool
    is_silent: bool


class LinkedSite(Protocol):
    """What links need to know of a site."""

    rng: random.Random

    def vm_at(self, address: str) -> LinkedVm:
        """Return the VM that has an address."""


@dataclass(slots=True)
class _Request:
    """What a relay reads of a request."""

    path: str
    query: Mapping[str, str]


@dataclass(slots=True)
class _Body:
    octets: bytes

    def at_eof(self) -> bool:
        """Return whether all of the body was read; here it never was."""
        return False

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield the whole body."""
        yield self.octets


@dataclass(slots=True)
class _Answer:
    """What a VM reads of a relay's answer."""

    status: int
    headers: Mapping[str, str]
    content: _Body  # noqa: WPS110 (aiohttp's name for it)
    content_length: int = 0


@dataclass(slots=True)
class _Exchange:
    """A request from one VM to another, as a context manager."""

    site: 'LinkedSite'
    sender: 'LinkedVm'
    url: str
    query: Mapping[str, str]
    timeout: ClientTimeout

    async def __aenter__(self) -> _Answer:
        """Return the answer of the other VM."""
        address, _, path = self.url.removeprefix('http://').partition('/')
        async with asyncio.timeout(self.timeout.total):
            await self._pass_link(address)
            relay = self.site.vm_at(address).relay
            request = _Request(f'/{path}', self.query)
            response = await relay.answer(cast(web.BaseRequest, request))
            await self._pass_link(address)
        body = getattr(response, 'body', b'') or b''
        return _Answer(response.status, response.headers, _Body(body))

    async def __aexit__(self, *_: object) -> None:
        """Do nothing; the answer was read whole."""

    async def _pass_link(self, address: str) -> None:
        await asyncio.sleep(self.site.rng.uniform(*LINK_S))
        receiver = self.site.vm_at(address)
        if receiver.is_silent:
            await asyncio.sleep(SILENCE_S)
        is_cut = receiver.store.is_cut or self.sender.store.is_cut
        if is_cut or not receiver.is_alive:
            raise ClientConnectionError('no link')


@dataclass(slots=True)
class ModelSession:
    """Sends requests to other VMs of the model."""

    site: 'LinkedSite'
    sender: 'LinkedVm'

    def get(
        self, url: str, *, params: Mapping[str, str], timeout: ClientTimeout
    ) -> _Exchange:
        """Return the exchange of a request and its answer."""
        return _Exchange(self.site, self.sender, url, params, timeout)
