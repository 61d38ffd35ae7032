"""Responses outside the grammar of HTTP, with each of aiohttp's parsers."""

from collections.abc import Mapping

import pytest
from aiohttp import client_proto, http_parser

from ...fleet.retries import Ending
from ...testing.brokenresponses import (
    BODY,
    BROKEN_BODIES,
    BROKEN_HEADS,
    SOUND,
)
from ...testing.rawattempts import RawOutcome, raw_attempt
from ...testing.rawpeer import sends, stays_silent

TIMED_OUT = 'TimeoutError'

PARSERS = {
    'compiled': http_parser.HttpResponseParser,
    'python': http_parser.HttpResponseParserPy,
}

streamed = pytest.mark.parametrize('is_stream', [False, True])


@pytest.fixture(autouse=True, params=PARSERS)
def _parser(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Let the library read responses with one of its parsers."""
    chosen = PARSERS[request.param]
    monkeypatch.setattr(client_proto, 'HttpResponseParser', chosen)


def _cases(by_name: Mapping[str, bytes]) -> pytest.MarkDecorator:
    return pytest.mark.parametrize(
        'response', list(by_name.values()), ids=list(by_name)
    )


def _check_refused(outcome: RawOutcome) -> None:
    """Check that an attempt ended soon, without a response."""
    assert outcome.result.ending in {Ending.UNKNOWN, Ending.CUT}
    assert outcome.result.reason != TIMED_OUT
    assert outcome.result.response is None


@streamed
@_cases(BROKEN_HEADS)
async def test_response_with_a_broken_head_is_none(
    response: bytes, is_stream: bool
) -> None:
    script = sends(response, then=stays_silent)
    outcome = await raw_attempt(script, is_stream=is_stream)
    _check_refused(outcome)
    assert not outcome.caller_bytes


@_cases(BROKEN_HEADS)
async def test_response_to_head_with_a_broken_head_is_none(
    response: bytes,
) -> None:
    script = sends(response, then=stays_silent)
    _check_refused(await raw_attempt(script, method='HEAD'))


@_cases(BROKEN_HEADS)
async def test_broken_head_in_pieces_is_none(response: bytes) -> None:
    middle = len(response) // 2
    script = sends(
        response[:1], response[1:middle], response[middle:], then=stays_silent
    )
    _check_refused(await raw_attempt(script))


@streamed
@_cases(SOUND)
async def test_rare_response_is_read_whole(
    response: bytes, is_stream: bool
) -> None:
    outcome = await raw_attempt(sends(response), is_stream=is_stream)
    assert outcome.result.ending is Ending.DELIVERED
    received = outcome.caller_bytes if is_stream else outcome.body
    assert received == BODY


@_cases(SOUND)
async def test_rare_response_in_pieces_is_read_whole(response: bytes) -> None:
    middle = len(response) // 2
    script = sends(
        response[:1], response[1:middle], response[middle:-1], response[-1:]
    )
    outcome = await raw_attempt(script)
    assert outcome.body == BODY


@streamed
@_cases(BROKEN_BODIES)
async def test_response_with_a_broken_body_is_never_whole(
    response: bytes, is_stream: bool
) -> None:
    script = sends(response, then=stays_silent)
    outcome = await raw_attempt(script, is_stream=is_stream)
    _check_refused(outcome)
    assert outcome.caller_bytes in {b'', BODY}


@_cases(BROKEN_BODIES)
async def test_broken_body_in_pieces_is_never_whole(response: bytes) -> None:
    script = sends(
        response[:-9], response[-9:-1], response[-1:], then=stays_silent
    )
    _check_refused(await raw_attempt(script))
