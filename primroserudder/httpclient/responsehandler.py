"""Reads responses of HTTP peers that may be faulty.

Explanation
===========
What a response is, ``heads``, ``framing`` and ``chunks`` decide before the
parser of aiohttp reads it, which allows more; which of its parsers is installed
must make no difference. aiohttp bounds the number of a response's fields. This
module bounds what else may come without a byte of a body. An error in a body
reaches its reader, and bytes after a complete response neither spoil it nor
answer another request.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage

from .errors import (
    BrokenResponse,
    EndlessResponse,
    InvalidResponse,
    ProtocolSwitched,
)
from .framing import Body
from .heads import HeadReader

# A response may take this many bytes in a row that are no part of its body:
# its head with all interim responses, what frames a chunk, or its trailers.
MAX_BYTES_WITHOUT_BODY = 32_768


@dataclass(frozen=True, slots=True)
class Part:
    """What the parser gets of some bytes, and how many of these it stands for.

    Explanation
    ===========
    Both differ where a head is not complete yet, and in the framing of chunks.
    """

    octets: bytes
    received: int


@dataclass(slots=True)
class ResponseProgress:
    """What was read of the response to the current request.

    Parameters
    ==========
    reader : HeadReader
        Reads the next head, while the final one is not complete.
    status : int
        That of the head that was read last, zero before.
    framing : Body or None
        Follows the body, once the final head is complete.
    body : aiohttp.StreamReader or None
        What the caller reads.
    body_bytes : int
        How much of the body was read.
    bytes_since : int
        Bytes read since the body last grew.
    """

    reader: HeadReader = field(default_factory=HeadReader)
    status: int = 0
    framing: Body | None = None
    body: aiohttp.StreamReader | None = None
    body_bytes: int = 0
    bytes_since: int = 0
    has_failed: bool = False

    @property
    def is_whole(self) -> bool:
        """Return whether the response was read completely."""
        return self.body is not None and self.body.is_eof()

    @property
    def has_surplus(self) -> bool:
        """Return whether bytes came after the end of the response."""
        return self.framing is not None and bool(self.framing.surplus)

    def parts(self, octets: bytes) -> Iterator[Part]:
        """Yield bytes in parts, each of which has one head at most.

        Raises
        ======
        BrokenResponse
            They are not those of a response.
        """
        while octets and self.framing is None and not self.has_failed:
            held = len(self.reader.octets)
            head = self.reader.feed(octets)
            if head is None:
                yield Part(b'', len(octets))
                return
            whole, octets = self.reader.octets, self.reader.rest
            self.status = head.status
            self.framing = head.body
            self.reader = HeadReader(expects_body=self.reader.expects_body)
            yield Part(whole, len(whole) - held)
        if octets and self.framing is not None and not self.has_failed:
            yield Part(self.framing.feed(octets), len(octets))

    def note(self, received: int) -> None:
        """Note that some bytes of the connection were read.

        Raises
        ======
        EndlessResponse
            The body has not grown for too many bytes.
        """
        body_bytes = 0 if self.body is None else self.body.total_bytes
        if body_bytes > self.body_bytes:
            self.body_bytes = body_bytes
            self.bytes_since = 0
        else:
            self.bytes_since += received
        if self.bytes_since > MAX_BYTES_WITHOUT_BODY:
            raise EndlessResponse(
                f'over {MAX_BYTES_WITHOUT_BODY} bytes without a body'
            )


class BoundedResponseHandler(ResponseHandler):
    """Reads the responses of one connection, which may be faulty.

    Explanation
    ===========
    An error in the middle of a body reaches the reader of the body at once.
    Bytes after a complete response belong to no request: they are dropped,
    and the connection is not used again.

    Raises
    ======
    BrokenResponse
        The bytes are outside the grammar, too many without a byte of a body, or
        a switch to another protocol.
    """

    def __init__(self, *parameters: Any, **options: Any) -> None:
        """Take the parameters of ``ResponseHandler``."""
        super().__init__(*parameters, **options)
        self._progress = ResponseProgress()

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare to read the response to a new request."""
        has_no_body = bool(parameters.get('skip_payload'))
        self._progress = ResponseProgress(
            HeadReader(expects_body=not has_no_body)
        )
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Read bytes of the connection, or resume with none."""
        if not data or self._parser is None:
            super().data_received(data)
            return
        if self._progress.is_whole:
            self._drop_extra_bytes()
            return
        try:
            self._read(data)
        except BrokenResponse as error:
            self._fail(error)

    def feed_data(
        self,
        message: tuple[RawResponseMessage, aiohttp.StreamReader],
        size: int = 0,
    ) -> None:
        """Take the head of a response, and its body, which may follow."""
        progress = self._progress
        status = message[0].code
        if progress.body is not None or status != progress.status:
            raise InvalidResponse('the parser found another response')
        if status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise ProtocolSwitched('nobody asked for another protocol')
        if status >= HTTPStatus.OK:
            progress.body = message[1]
        super().feed_data(message, size)

    def set_exception(self, *errors: BaseException) -> None:
        """Fail the response, and its body if that is incomplete.

        Explanation
        ===========
        aiohttp tells an error only to one who waits for a head.
        """
        self._progress.has_failed = True
        error = errors[0]
        if isinstance(error, HttpProcessingError):
            cause = type(errors[-1]).__name__
            error = InvalidResponse(f'refused by the parser: {cause}')
        super().set_exception(error, *errors[1:])
        body = self._progress.body
        if body is not None and not body.is_eof() and body.exception() is None:
            if not isinstance(error, BrokenResponse):
                error = aiohttp.ClientPayloadError(f'invalid body: {error!r}')
            body.set_exception(error)

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

    def _read(self, octets: bytes) -> None:
        progress = self._progress
        if progress.framing is None:
            for part in progress.parts(octets):
                self._parse(part.octets)
                progress.note(part.received)
        else:
            # Nearly all calls come here, one for each event of a stream.
            self._parse(progress.framing.feed(octets))
            progress.note(len(octets))
        if progress.has_surplus:
            self._drop_extra_bytes()

    def _parse(self, octets: bytes) -> None:
        if octets:
            ResponseHandler.data_received(self, octets)

    def _drop_extra_bytes(self) -> None:
        """Leave a connection whose bytes no longer belong to a response."""
        self._progress.has_failed = True
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, error: BrokenResponse) -> None:
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
