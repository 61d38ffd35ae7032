"""Tests what happens when a caller leaves as its stream ends."""

from typing import Any

import pytest

from ..servedrequest import CallerDisconnected, CallerStream


class _ClosedResponse:
    """A response whose caller has closed the connection."""

    async def write_eof(self) -> None:
        raise ConnectionResetError('Cannot write to closing transport')


async def test_caller_that_leaves_as_its_stream_ends_is_no_error() -> None:
    request: Any = None
    stream = CallerStream(request, bool)
    stream.response = _ClosedResponse()  # type: ignore[assignment]
    with pytest.raises(CallerDisconnected):
        await stream.finish()
