"""Responses that break the protocol, or go on without end."""

import pytest

from ...fleet.retries import Ending
from ...testing.rawattempts import CHUNKED_HEAD, EVENTS, raw_attempt
from ...testing.rawpeer import sends, stays_silent

FIRST_CHUNK = b'%x\r\n%s\r\n' % (len(EVENTS), EVENTS)
LONG_TRAILER = b'0\r\n%s' % (b'n' * 9000)
TIMED_OUT = 'TimeoutError'


@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize(
    'rest',
    [b'zz\r\n', b'f' * 20, b'2\r\nokX', LONG_TRAILER],
    ids=['size', 'large size', 'end', 'trailer'],
)
async def test_broken_chunk_ends_an_attempt_before_its_deadline(
    rest: bytes, is_stream: bool
) -> None:
    head = b''.join((CHUNKED_HEAD, FIRST_CHUNK))
    script = sends(head, rest, then=stays_silent)
    outcome = await raw_attempt(script, is_stream=is_stream)
    expected = (Ending.CUT, EVENTS) if is_stream else (Ending.UNKNOWN, b'')
    assert (outcome.result.ending, outcome.caller_bytes) == expected
    assert outcome.result.reason != TIMED_OUT
