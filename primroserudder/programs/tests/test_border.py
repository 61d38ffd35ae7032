"""Fuzz tests of external input: bad input gets a typed error, no traceback."""

import asyncio
import json
from collections.abc import Iterator

import aiohttp
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...errors import RudderError
from ...process.settings import EntrySettings, read_settings
from ...testing import builders
from ...testing.nodes import entry_settings, running_entry
from ...version.holder import make_version

CALLERS_INPUTS = 2500
SETTINGS_INPUTS = 1500
DOCUMENT_INPUTS = 1500

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=12), inner, max_size=4)
    ),
    max_leaves=8,
)
_FIELDS = (
    'model', 'prompt', 'messages', 'max_tokens', 'seed', 'stream', 'n',
    'max_completion_tokens', 'temperature',
)  # fmt: skip
_REQUESTS = st.dictionaries(
    st.sampled_from(_FIELDS),
    _JSON | st.just(builders.SERVICE) | st.integers(-2, 3),
).map(lambda body: json.dumps(body).encode())
_BODIES = _REQUESTS | st.binary(max_size=64) | _JSON.map(repr).map(str.encode)
_HEADER_TEXT = st.text(
    st.characters(min_codepoint=32, max_codepoint=126),
    max_size=24,
)
_HEADERS = st.dictionaries(
    st.sampled_from((
        'Rudder-Deadline-S', 'Rudder-Priority', 'Rudder-Idempotent',
        'Idempotency-Key', 'Content-Type', 'X-Other',
    )),
    _HEADER_TEXT,
)  # fmt: skip
_KEYS = st.just(f'Bearer {builders.KEY}') | _HEADER_TEXT
_PATHS = st.sampled_from((
    '/v1/completions', '/v1/chat/completions', '/v1/models',
    '/services/none/path', '/none',
))  # fmt: skip
_METHODS = st.sampled_from(('POST', 'POST', 'POST', 'GET', 'PUT'))


class _Border:
    """A client and an entry that run on an event loop of their own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.running = running_entry()
        self.entry = self.loop.run_until_complete(self.running.__aenter__())
        self.session = self.loop.run_until_complete(self._open())

    def ask(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> tuple[int, bytes]:
        return self.loop.run_until_complete(
            self._ask(method, path, body, headers),
        )

    def close(self) -> None:
        self.loop.run_until_complete(self.session.close())
        self.loop.run_until_complete(
            self.running.__aexit__(None, None, None),
        )
        self.loop.close()

    async def _open(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession()

    async def _ask(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> tuple[int, bytes]:
        port = self.entry.callers_port
        url = f'http://127.0.0.1:{port}{path}'
        async with self.session.request(
            method,
            url,
            data=body,
            headers=headers,
        ) as response:
            return response.status, await response.read()


@pytest.fixture(scope='module')
def border() -> Iterator[_Border]:
    """Run one entry for all inputs of this module."""
    entry_border = _Border()
    yield entry_border
    entry_border.close()


@settings(max_examples=CALLERS_INPUTS)
@given(method=_METHODS, path=_PATHS, body=_BODIES, headers=_HEADERS, key=_KEYS)
def test_callers_input(
    border: _Border,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    key: str,
) -> None:
    # No group is serving, so no engine can answer an input.
    sent = {**headers, 'Authorization': key}
    status, answer = border.ask(method, path, body, sent)
    if status == 200:
        assert path == '/v1/models'
        return
    problem = orjson.loads(answer)
    assert problem['code'] != 'internal_error', (problem, body)
    assert problem['status'] == status
    # If an earlier input used the same idempotency key, the entry does not
    # report whether that request ran.
    is_of_key = problem['code'] in {'key_reused', 'key_in_progress'}
    expected = 'unknown' if is_of_key else 'no'
    assert problem['ran'] == expected
    assert problem['remedy']


@settings(max_examples=SETTINGS_INPUTS)
@given(name=st.sampled_from(tuple(EntrySettings.model_fields)), bad=_JSON)
def test_settings_input(
    tmp_path_factory: pytest.TempPathFactory,
    name: str,
    bad: object,
) -> None:
    path = tmp_path_factory.getbasetemp() / 'settings.json'
    fields = entry_settings(1).model_dump(mode='json')
    # Some file systems flush a file each time that it is overwritten.
    path.unlink(missing_ok=True)
    path.write_bytes(json.dumps({**fields, name: bad}).encode())
    try:
        read_settings(path, EntrySettings)
    except RudderError as error:
        assert error.code == 'bad_settings'
        assert str(path) in str(error)


@settings(max_examples=DOCUMENT_INPUTS)
@given(
    name=st.sampled_from(tuple(builders.document())),
    bad=_JSON,
    cut=st.integers(0, 400) | st.none(),
)
def test_document_input(name: str, bad: object, cut: int | None) -> None:
    document = builders.document(**{name: bad})
    body = json.dumps(document).encode()[:cut]
    try:
        make_version(1, body, 'file.json')
    except RudderError as error:
        assert error.code == 'bad_configuration'
        assert str(error).startswith('file.json')
