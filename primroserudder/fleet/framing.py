"""Check whether the body of a response was received completely.

Explanation
===========
A response without a length ends when its connection closes. aiohttp treats
a connection reset as such an end too, so this module checks how the
connection was closed. If that is unknown, the response counts as truncated.
"""

import asyncio
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDictProxy

# The connection closes together with the end of the body; this is the longest
# wait for aiohttp to report it.
CLOSE_WAIT_S = 0.1


@dataclass(frozen=True, slots=True)
class Framing:
    """How the end of a response body is detected."""

    has_length: bool
    closed: asyncio.Future[None] | None

    @classmethod
    def of(cls, response: aiohttp.ClientResponse) -> 'Framing':
        """Return the framing of a response whose headers were just read."""
        if _has_length(response.headers):
            return cls(has_length=True, closed=None)
        connection = response.connection
        protocol = connection.protocol if connection else None
        return cls(
            has_length=False,
            closed=None if protocol is None else protocol.closed,
        )

    async def is_complete(self) -> bool:
        """Return whether the body was received completely."""
        if self.has_length:
            return True
        if self.closed is None:
            return False
        await asyncio.wait((self.closed,), timeout=CLOSE_WAIT_S)
        return self.closed.done() and self.closed.exception() is None


def _has_length(headers: CIMultiDictProxy[str]) -> bool:
    coding = headers.get('Transfer-Encoding', '').lower()
    return 'Content-Length' in headers or 'chunked' in coding
