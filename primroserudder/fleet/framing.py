"""Whether an answer that ends with its connection came whole.

Explanation
===========
An answer without a length ends where its connection does. The library takes
a reset for such an end as well, so that the way in which the connection
closed decides here. Where that can't be told, the answer counts as cut.
"""

import asyncio
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDictProxy

# The end of the body and that of the connection come together.
CLOSE_WAIT_S = 0.1


@dataclass(frozen=True, slots=True)
class Framing:
    """How an answer's end is known."""

    has_length: bool
    closed: asyncio.Future[None] | None

    @classmethod
    def of(cls, response: aiohttp.ClientResponse) -> 'Framing':
        """Return the framing of an answer whose head was just read."""
        if _has_length(response.headers):
            return cls(has_length=True, closed=None)
        connection = response.connection
        protocol = connection.protocol if connection else None
        return cls(
            has_length=False,
            closed=None if protocol is None else protocol.closed,
        )

    async def is_complete(self) -> bool:
        """Return whether the body that was read is all of it."""
        if self.has_length:
            return True
        if self.closed is None:
            return False
        await asyncio.wait((self.closed,), timeout=CLOSE_WAIT_S)
        return self.closed.done() and self.closed.exception() is None


def _has_length(headers: CIMultiDictProxy[str]) -> bool:
    coding = headers.get('Transfer-Encoding', '').lower()
    return 'Content-Length' in headers or 'chunked' in coding
