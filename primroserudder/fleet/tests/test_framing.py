"""Whole and broken responses that have neither a length nor chunks."""

import asyncio
from collections.abc import Callable

import pytest

from ...programs.common import new_loop
from ...testing.rawattempts import EVENTS, HEAD, RawOutcome, raw_attempt
from ...testing.rawpeer import (
    Script,
    closes,
    half_closes,
    resets,
    sends,
    stays_silent,
)
from ..retries import Ending

# Enough to meet each order in which the last bytes and the close are seen.
ROUNDS = 30
UNFRAMED_HEAD = b''.join((HEAD, b'\r\n'))
WHOLE = b''.join((UNFRAMED_HEAD, EVENTS))

LoopFactory = Callable[[], asyncio.AbstractEventLoop]


@pytest.fixture(params=[asyncio.new_event_loop, new_loop])
def loop_factory(request: pytest.FixtureRequest) -> LoopFactory:
    """Return the loop of asyncio, and that of the programs."""
    factory: LoopFactory = request.param
    return factory


def _attempts(
    loop_factory: LoopFactory,
    script: Script,
    rounds: int = ROUNDS,
    **options: object,
) -> list[RawOutcome]:
    async def repeat() -> list[RawOutcome]:
        return [
            await raw_attempt(script, **options)  # type: ignore[arg-type]
            for _ in range(rounds)
        ]

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(repeat())


def _endings(outcomes: list[RawOutcome]) -> set[Ending]:
    return {outcome.result.ending for outcome in outcomes}


def _with_status(status: bytes) -> bytes:
    return UNFRAMED_HEAD.replace(b'200 OK', status)


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize(
    'script',
    [
        sends(WHOLE),
        sends(UNFRAMED_HEAD),
        sends(WHOLE, then=half_closes),
        sends(UNFRAMED_HEAD, EVENTS, b''),
        sends(UNFRAMED_HEAD, EVENTS[:20], EVENTS[20:]),
    ],
    ids=['one packet', 'empty', 'half close', 'late close', 'pieces'],
)
def test_whole_response_without_length_is_never_taken_as_broken_off(
    loop_factory: LoopFactory, script: Script, is_stream: bool
) -> None:
    outcomes = _attempts(loop_factory, script, is_stream=is_stream)
    assert _endings(outcomes) == {Ending.DELIVERED}


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize(
    'script',
    [
        sends(WHOLE, then=resets),
        sends(UNFRAMED_HEAD, then=resets),
        sends(UNFRAMED_HEAD, EVENTS, then=resets),
    ],
    ids=['one packet', 'empty', 'late'],
)
def test_reset_response_without_length_is_never_taken_as_whole(
    loop_factory: LoopFactory, script: Script, is_stream: bool
) -> None:
    outcomes = _attempts(loop_factory, script, is_stream=is_stream)
    assert _endings(outcomes) <= {Ending.UNKNOWN, Ending.CUT}


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize('then', [closes, stays_silent])
def test_response_with_no_content_is_whole_without_a_length(
    loop_factory: LoopFactory, then: Script, is_stream: bool
) -> None:
    script = sends(_with_status(b'204 No Content'), then=then)
    outcomes = _attempts(loop_factory, script, 5, is_stream=is_stream)
    assert _endings(outcomes) == {Ending.DELIVERED}


def test_response_that_nothing_was_modified_is_whole_without_a_length(
    loop_factory: LoopFactory,
) -> None:
    script = sends(_with_status(b'304 Not Modified'), then=stays_silent)
    outcomes = _attempts(loop_factory, script, 5)
    assert _endings(outcomes) == {Ending.FAILED}


@pytest.mark.parametrize('length', [b'', b'Content-Length: 7\r\n'])
def test_response_to_a_head_request_is_whole_without_a_body(
    loop_factory: LoopFactory, length: bytes
) -> None:
    script = sends(b''.join((HEAD, length, b'\r\n')), then=stays_silent)
    outcomes = _attempts(loop_factory, script, 5, method='HEAD')
    assert _endings(outcomes) == {Ending.DELIVERED}


@pytest.mark.parametrize('is_stream', [False, True])
def test_reset_response_in_another_coding_is_never_taken_as_whole(
    loop_factory: LoopFactory, is_stream: bool
) -> None:
    # Chunks that are wrapped in another coding end with the connection.
    coded = b'Transfer-Encoding: chunked, other\r\n\r\n'
    script = sends(b''.join((HEAD, coded, EVENTS)), then=resets)
    outcomes = _attempts(loop_factory, script, 5, is_stream=is_stream)
    assert _endings(outcomes) <= {Ending.UNKNOWN, Ending.CUT}


@pytest.mark.parametrize(
    'fields',
    [
        b'Transfer-Encoding: other\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'Transfer-Encoding: other, chunked\r\n\r\n',
    ],
    ids=['two fields', 'one field'],
)
def test_chunks_in_another_coding_are_no_response(
    loop_factory: LoopFactory, fields: bytes
) -> None:
    # The caller would get a body that it can't read as the engine's own.
    chunks = b'2\r\nok\r\n0\r\n\r\n'
    script = sends(b''.join((HEAD, fields, chunks)), then=stays_silent)
    outcomes = _attempts(loop_factory, script, 5)
    assert _endings(outcomes) == {Ending.UNKNOWN}
    assert {outcome.body for outcome in outcomes} == {None}
    assert 'TimeoutError' not in {outcome.result.reason for outcome in outcomes}
