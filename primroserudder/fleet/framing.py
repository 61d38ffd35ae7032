"""Check whether the body of a response was received completely.

Explanation
===========
A response without a length ends when its connection closes. aiohttp treats
a connection reset as such an end too, so this module checks how the
connection was closed. If that is unknown, the response counts as truncated.
A response that can't have a body is complete with its header fields.
"""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
from multidict import CIMultiDictProxy

# The connection closes together with the end of the body; this is the longest
# wait for aiohttp to report it.
CLOSE_WAIT_S = 0.1
_STATUSES_WITHOUT_BODY = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)


@dataclass(frozen=True, slots=True)
class Framing:
    """How the end of a response body is detected.

    Parameters
    ==========
    marks_end : bool
        Whether the response itself says where it ends, by a length, by
        chunks or by having no body.
    """

    marks_end: bool
    closed: asyncio.Future[None] | None

    @classmethod
    def of(cls, response: aiohttp.ClientResponse) -> 'Framing':
        """Return the framing of a response whose headers were just read."""
        if _has_no_body(response) or _has_length(response.headers):
            return cls(marks_end=True, closed=None)
        connection = response.connection
        protocol = connection.protocol if connection else None
        return cls(
            marks_end=False,
            closed=None if protocol is None else protocol.closed,
        )

    async def is_complete(self) -> bool:
        """Return whether the body was received completely."""
        if self.marks_end:
            return True
        if self.closed is None:
            return False
        await asyncio.wait((self.closed,), timeout=CLOSE_WAIT_S)
        return self.closed.done() and self.closed.exception() is None


def _has_no_body(response: aiohttp.ClientResponse) -> bool:
    """Return whether there is never a body (RFC 9112, section 6.3)."""
    return (
        response.method == aiohttp.hdrs.METH_HEAD
        or response.status in _STATUSES_WITHOUT_BODY
    )


def _has_length(headers: CIMultiDictProxy[str]) -> bool:
    """Return whether a body has a length or ends with a last chunk.

    Explanation
    ===========
    Chunks mark the end only as the last coding of all (RFC 9112, section
    6.3), and a coding makes a length invalid.
    """
    codings = ','.join(headers.getall(aiohttp.hdrs.TRANSFER_ENCODING, ()))
    if codings:
        return codings.rpartition(',')[2].strip().lower() == 'chunked'
    return aiohttp.hdrs.CONTENT_LENGTH in headers
