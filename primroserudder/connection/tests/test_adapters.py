"""Fuzz tests: malformed platform and engine answers raise typed errors."""

import asyncio
import json
from collections.abc import Iterator

import pytest
from aiohttp import ClientSession, web
from hypothesis import given, settings
from hypothesis import strategies as st

from ...errors import RudderError
from ...process.settings import Listener
from ...testing import builders
from ..enginehttp import EngineHttp
from ..http import bound_port, serve
from ..platformhttp import PlatformHttp

EXAMPLES = 700
STATUSES = (200, 200, 200, 301, 404, 409, 500)

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(('row', 'rows', 'vms', 'vm_id', 'load')),
            inner,
        )
    ),
    max_leaves=8,
)
_BODIES = st.binary(max_size=40) | _JSON.map(json.dumps).map(str.encode)


class _FakeServer:
    """A server that answers with a given status and body."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.status = 200
        self.body = b''
        self.loop.run_until_complete(self._start())

    def close(self) -> None:
        self.loop.run_until_complete(self.session.close())
        self.loop.run_until_complete(self.runner.cleanup())
        self.loop.close()

    async def answer(self, request: web.Request) -> web.Response:
        return web.Response(status=self.status, body=self.body)

    async def ask_platform(self) -> None:
        platform = PlatformHttp(self.session, f'http://{self.address}', 5)
        for call in (
            platform.read('k'),
            platform.scan('k'),
            platform.list_vms(),
            platform.get_object('o'),
        ):
            await _check_error_type(call)

    async def ask_engine(self) -> None:
        engines = EngineHttp(self.session)
        order = builders.order(builders.group())
        for call in (
            engines.status(self.address),
            engines.order(self.address, order),
            engines.cache_events(self.address, 0),
        ):
            await _check_error_type(call)

    async def _start(self) -> None:
        app = web.Application()
        app.add_routes([web.route('*', '/{path:.*}', self.answer)])
        self.runner = await serve(app, Listener(port=0), 'outside')
        self.address = f'127.0.0.1:{bound_port(self.runner)}'
        self.session = ClientSession()


async def _check_error_type(call: object) -> None:
    try:
        await call  # type: ignore[misc]
    except RudderError as error:
        assert error.code != 'internal_error'


@pytest.fixture(scope='module')
def fake_server() -> Iterator[_FakeServer]:
    """Run one fake server for all tests of this module."""
    server = _FakeServer()
    yield server
    server.close()


@settings(max_examples=EXAMPLES)
@given(body=_BODIES, status=st.sampled_from(STATUSES))
def test_platform_answers(
    fake_server: _FakeServer, body: bytes, status: int
) -> None:
    fake_server.body = body
    fake_server.status = status
    fake_server.loop.run_until_complete(fake_server.ask_platform())


@settings(max_examples=EXAMPLES)
@given(body=_BODIES, status=st.sampled_from(STATUSES))
def test_engine_answers(
    fake_server: _FakeServer, body: bytes, status: int
) -> None:
    fake_server.body = body
    fake_server.status = status
    fake_server.loop.run_until_complete(fake_server.ask_engine())
