"""Tests of TLS on HTTP ports and of mutual TLS between peers."""

import pathlib
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientConnectorCertificateError, ClientSession, web

from ...process.clock import LoopClock
from ...process.membership import Membership, Node
from ...process.settings import Listener, SettingsError, TlsFiles
from ...testing.certificates import make_authority
from ...version.holder import VersionHolder
from ...wire import peers_pb2_grpc
from ..exchange import MembershipService, PeerClient
from ..http import bound_port, serve
from ..peers import PeerChannels, PeerUnreachable, bind, peer_server
from ..tls import server_context


async def _hello(request: web.Request) -> web.Response:
    return web.Response(text='hello')


def _service(name: str) -> MembershipService:
    node = Node(name, 'i1', 'fd-1', 'entry', '')
    membership = Membership(node, LoopClock())
    return MembershipService(membership, VersionHolder(), bool)


@asynccontextmanager
async def _peer(files: TlsFiles) -> AsyncIterator[str]:
    server = peer_server()
    peers_pb2_grpc.add_MembershipServicer_to_server(_service('a'), server)
    port = bind(server, Listener(port=0, tls=files))
    await server.start()
    yield f'127.0.0.1:{port}'
    await server.stop(0)


async def _exchange(address: str, files: TlsFiles | None) -> PeerClient:
    client = PeerClient(PeerChannels(files), _service('b'))
    try:
        await client.exchange(address)
    except PeerUnreachable:
        await client.channels.close()
        raise
    await client.channels.close()
    return client


async def test_peers_of_one_authority_exchange_hellos(
    tmp_path: pathlib.Path,
) -> None:
    authority = make_authority(tmp_path, 'ca')
    async with _peer(authority.issue('a')) as address:
        client = await _exchange(address, authority.issue('b'))
    assert 'a' in client.service.membership.by_id


async def test_peer_of_another_authority_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    own = make_authority(tmp_path, 'ca')
    other = make_authority(tmp_path, 'other-ca')
    untrusted = other.issue('b').model_copy(
        update={'client_ca': own.certificate_file},
    )
    async with _peer(own.issue('a')) as address:
        with pytest.raises(PeerUnreachable):
            await _exchange(address, untrusted)


async def test_peer_without_tls_is_refused(tmp_path: pathlib.Path) -> None:
    authority = make_authority(tmp_path, 'ca')
    async with _peer(authority.issue('a')) as address:
        with pytest.raises(PeerUnreachable):
            await _exchange(address, None)


async def test_callers_port_serves_https(tmp_path: pathlib.Path) -> None:
    authority = make_authority(tmp_path, 'ca')
    issued = authority.issue('entry')
    files = issued.model_copy(update={'client_ca': None})
    app = web.Application()
    app.add_routes([web.get('/', _hello)])
    runner = await serve(app, Listener(port=0, tls=files), 'callers')
    trust = ssl.create_default_context(cafile=authority.certificate_file)
    async with ClientSession() as session:
        url = f'https://127.0.0.1:{bound_port(runner)}/'
        async with session.get(url, ssl=trust) as response:
            assert await response.text() == 'hello'
        with pytest.raises(ClientConnectorCertificateError):
            await session.get(url)
    await runner.cleanup()


def test_missing_file_is_named(tmp_path: pathlib.Path) -> None:
    missing = tmp_path / 'none.pem'
    with pytest.raises(SettingsError, match='none.pem'):
        server_context(TlsFiles(certificate=missing, key=missing))


async def test_port_in_use_is_named() -> None:
    runner = await serve(web.Application(), Listener(port=0), 'callers')
    taken = Listener(port=bound_port(runner))
    with pytest.raises(SettingsError, match='callers: 127.0.0.1'):
        await serve(web.Application(), taken, 'callers')
    await runner.cleanup()


async def test_peers_port_in_use_is_named() -> None:
    first = peer_server()
    port = bind(first, Listener(port=0))
    with pytest.raises(SettingsError, match='peers: 127.0.0.1'):
        bind(peer_server(), Listener(port=port))
    await first.stop(0)
