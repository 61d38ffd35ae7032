"""Cuts a loopback router off from all engines, while all else reaches it."""

import asyncio
import enum
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

import aiohttp

from ..fleet.router import Router
from .platformsite import PlatformSite


class CutKind(enum.StrEnum):
    """What becomes of connections to the engines."""

    # New ones are refused, and those that were open are reset.
    REFUSED = 'refused'
    # New ones hang, and nothing passes on those that were open.
    SILENT = 'silent'
    # New ones are refused, and those that were open live on.
    NEW_ONLY = 'new only'


@contextmanager
def cut_off_from_engines(
    site: PlatformSite, router: Router, kind: CutKind
) -> Iterator[None]:
    """Cut a router off from the engines that the site has now."""
    addresses = {engine.address for engine in site.engines_by_id.values()}
    sessions = _engine_sessions(router)
    for session in sessions:
        _end_open_connections(session, addresses, kind)
    with _blocked(sessions, addresses, kind):
        yield


@contextmanager
def _blocked(
    sessions: Collection[aiohttp.ClientSession],
    addresses: Collection[str],
    kind: CutKind,
) -> Iterator[None]:
    connect = aiohttp.TCPConnector.connect
    connectors = {id(session.connector) for session in sessions}

    async def connect_unless_cut(  # noqa: WPS430 (needs the real one)
        self: aiohttp.TCPConnector,
        request: Any,
        traces: Any,
        timeout: aiohttp.ClientTimeout,
    ) -> Any:
        address = request.url.authority
        if id(self) not in connectors or address not in addresses:
            return await connect(self, request, traces, timeout)
        if kind is CutKind.SILENT:
            await asyncio.sleep(timeout.sock_connect or timeout.total or 1)
            raise aiohttp.ConnectionTimeoutError
        raise aiohttp.ClientConnectorError(
            request.connection_key, ConnectionRefusedError()
        )

    with patch.object(aiohttp.TCPConnector, 'connect', connect_unless_cut):
        yield


def _engine_sessions(router: Router) -> Collection[aiohttp.ClientSession]:
    return [
        router.server.runner.session,
        router.control_plane.orders.session,
        router.forwarder.reach.orders.session,
    ]


def _end_open_connections(
    session: aiohttp.ClientSession,
    addresses: Collection[str],
    kind: CutKind,
) -> None:
    connector = session.connector
    if kind is CutKind.NEW_ONLY or connector is None:
        return
    for protocol in tuple(connector._acquired):  # noqa: SLF001
        transport = protocol.transport
        if transport is None:
            continue
        host, port = transport.get_extra_info('peername')[:2]
        if f'{host}:{port}' not in addresses:
            continue
        if kind is CutKind.REFUSED:
            transport.abort()
        else:
            transport.pause_reading()
