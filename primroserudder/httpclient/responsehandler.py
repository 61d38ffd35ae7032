"""Reads responses of HTTP peers that may send bytes without end.

Explanation
===========
aiohttp bounds the lines and the number of a response's header fields. This
module adds what it lacks for peers that may be faulty: a bound on what it
skips without a word (empty lines, spaces, interim responses, extensions and
leading zeros of chunks), that an error in a body reaches its reader, and that
bytes after a complete response neither spoil it nor answer another request.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

# A response may take this many bytes in a row that are no part of its body:
# its head with all interim responses, what frames a chunk, or its trailers.
MAX_BYTES_WITHOUT_BODY = 32_768
# The end of a head; empty lines before a response are none.
_HEAD_END = re.compile(rb'[^\r\n]\r\n\r\n')
_HEAD_END_BYTES = 5


class EndlessResponse(aiohttp.ClientPayloadError):
    """A peer sent too many bytes that are no part of a body."""


class ProtocolSwitched(aiohttp.ClientPayloadError):
    """A peer switched to another protocol without being asked."""


@dataclass(slots=True)
class ResponseProgress:
    """What was read of the response to the current request.

    Parameters
    ==========
    body_bytes : int
        How much of the body was read.
    bytes_since : int
        Bytes read since the body last grew.
    head_tail : bytes
        The last bytes of an incomplete head, which may be the first bytes of
        its end.
    """

    body: aiohttp.StreamReader | None = None
    body_bytes: int = 0
    bytes_since: int = 0
    head_tail: bytes = b''
    has_failed: bool = False

    @property
    def is_whole(self) -> bool:
        """Return whether the response was read completely."""
        return self.body is not None and self.body.is_eof()

    def parts(self, octets: bytes) -> Iterator[bytes]:
        """Yield bytes in parts, each of which has the end of one head at most.

        Explanation
        ===========
        While a head is incomplete, a part ends where a head may end, so that
        the parser returns a response before it reads what follows.
        """
        start = 0
        while start < len(octets) and self.body is None and not self.has_failed:
            end = self._possible_head_end(octets, start)
            part = octets[start:end]
            yield part
            self.head_tail = (self.head_tail + part)[1 - _HEAD_END_BYTES :]
            start = end
        if start < len(octets) and not self.has_failed:
            yield octets[start:]

    def note(self, octets: int) -> None:
        """Note that some bytes of the connection were read."""
        body_bytes = 0 if self.body is None else self.body.total_bytes
        if body_bytes > self.body_bytes:
            self.body_bytes = body_bytes
            self.bytes_since = 0
        else:
            self.bytes_since += octets

    @property
    def is_endless(self) -> bool:
        """Return whether the body has not grown for too many bytes."""
        return self.bytes_since > MAX_BYTES_WITHOUT_BODY

    def _possible_head_end(self, octets: bytes, start: int) -> int:
        straddling = octets[start : start + _HEAD_END_BYTES - 1]
        found = _HEAD_END.search(self.head_tail + straddling)
        if found:
            return start + found.end() - len(self.head_tail)
        found = _HEAD_END.search(octets, start)
        return found.end() if found else len(octets)


class BoundedResponseHandler(ResponseHandler):
    """Reads the responses of one connection, which may be faulty.

    Explanation
    ===========
    An error in the middle of a body reaches the reader of the body at once.
    Bytes after a complete response belong to no request: they are dropped,
    and the connection is not used again.

    Raises
    ======
    EndlessResponse
        More than ``MAX_BYTES_WITHOUT_BODY`` came without a byte of a body.
    ProtocolSwitched
        The response has the status 101.
    """

    def __init__(self, *parameters: Any, **options: Any) -> None:
        """Take the parameters of ``ResponseHandler``."""
        super().__init__(*parameters, **options)
        self._progress = ResponseProgress()

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare to read the response to a new request."""
        self._progress = ResponseProgress()
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Read bytes of the connection, or resume with none."""
        if not data:
            super().data_received(data)
            return
        progress = self._progress
        if progress.is_whole:
            self._drop_extra_bytes()
            return
        for part in progress.parts(data):
            super().data_received(part)
            progress.note(len(part))
            if progress.is_endless:
                self._fail(
                    EndlessResponse(
                        f'over {MAX_BYTES_WITHOUT_BODY} bytes without a body'
                    )
                )

    def feed_data(
        self,
        message: tuple[RawResponseMessage, aiohttp.StreamReader],
        size: int = 0,
    ) -> None:
        """Take the head of a response, and its body, which may follow."""
        if self._progress.body is not None:
            self._drop_extra_bytes()
            return
        if message[0].code == HTTPStatus.SWITCHING_PROTOCOLS:
            self._fail(ProtocolSwitched('nobody asked for another protocol'))
            return
        if message[0].code >= HTTPStatus.OK:
            self._progress.body = message[1]
        super().feed_data(message, size)

    def set_exception(self, *errors: BaseException) -> None:
        """Fail the response, and its body if that is incomplete.

        Explanation
        ===========
        aiohttp tells an error only to one who waits for a head.
        """
        self._progress.has_failed = True
        super().set_exception(*errors)
        body = self._progress.body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(
                aiohttp.ClientPayloadError(f'invalid body: {errors[0]!r}')
            )

    def close(self) -> None:
        """Close the connection.

        Explanation
        ===========
        If the request is not sent completely and has no complete response,
        it was given up, and the rest of it is not sent. A peer that answered
        early gets the rest.
        """
        transport = self.transport
        is_unsent = transport is not None and transport.get_write_buffer_size()
        if is_unsent and not self._progress.is_whole:
            self.abort()
        else:
            super().close()

    def _drop_extra_bytes(self) -> None:
        """Leave a connection whose bytes no longer belong to a response."""
        self._progress.has_failed = True
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, error: aiohttp.ClientPayloadError) -> None:
        """Abort the connection."""
        self._progress.has_failed = True
        if self.transport is not None:
            self.transport.abort()
        self.set_exception(error)


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections whose responses are read with bounds."""

    def __init__(self, **options: Any) -> None:
        """Take the options of ``aiohttp.TCPConnector``."""
        super().__init__(**options)
        # aiohttp has no option for the class that reads responses.
        self._factory = partial(  # type: ignore[assignment]
            BoundedResponseHandler, loop=self._loop
        )

    def close_idle(self) -> None:
        """Close the connections that wait to be used again."""
        # aiohttp can only close a connector as a whole.
        for idle in tuple(self._conns.values()):
            for protocol, _ in idle:
                protocol.close()
        self._conns.clear()
