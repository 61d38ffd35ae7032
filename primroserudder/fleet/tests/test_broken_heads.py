"""A response that breaks off within its head is never taken as whole."""

import asyncio
from collections.abc import Callable

import pytest

from ...programs.common import new_loop
from ...testing.rawattempts import EVENTS, HEAD, raw_attempt
from ...testing.rawpeer import Script, closes, half_closes, resets, sends
from ..retries import Ending

LENGTH = str(len(EVENTS)).encode()
HEADS = {
    'length': b''.join((HEAD, b'Content-Length: ', LENGTH, b'\r\n\r\n')),
    'chunked': b''.join((HEAD, b'Transfer-Encoding: chunked\r\n\r\n')),
    'after an interim response': b''.join(
        (b'HTTP/1.1 103 Early Hints\r\n\r\n', HEAD, b'\r\n')
    ),
    'unframed': b''.join((HEAD, b'\r\n')),
    'line feeds': b''.join((HEAD, b'\r\n')).replace(b'\r\n', b'\n'),
}
# Each attempt opens a connection; every third place meets all parts of a line.
PLACES_APART = 3
LoopFactory = Callable[[], asyncio.AbstractEventLoop]


def _cuts(head: bytes) -> list[bytes]:
    """Return the head broken off within each line, and before its end."""
    places = {*range(1, len(head), PLACES_APART), len(head) - 2, len(head) - 1}
    return [head[:place] for place in sorted(places)]


async def _endings(
    heads: list[bytes], then: Script, *, is_stream: bool
) -> dict[bytes, Ending]:
    outcomes = [
        await raw_attempt(sends(head, then=then), is_stream=is_stream)
        for head in heads
    ]
    assert not any(outcome.caller_bytes for outcome in outcomes)
    assert not any(outcome.body for outcome in outcomes)
    return {
        head: outcome.result.ending
        for head, outcome in zip(heads, outcomes, strict=True)
    }


@pytest.mark.parametrize('loop_factory', [asyncio.new_event_loop, new_loop])
@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize('then', [closes, half_closes, resets])
@pytest.mark.parametrize('name', HEADS)
def test_response_that_ends_within_its_head_is_not_taken_as_whole(
    loop_factory: LoopFactory, then: Script, name: str, *, is_stream: bool
) -> None:
    cuts = _cuts(HEADS[name])
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        endings = runner.run(_endings(cuts, then, is_stream=is_stream))
    whole = [
        cut
        for cut, ending in endings.items()
        if ending not in {Ending.UNKNOWN, Ending.CUT}
    ]
    assert not whole
