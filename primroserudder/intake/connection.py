"""One connection, and what its peer makes the process hold.

Explanation
===========
aiohttp parses requests and queues them. It limits a line and the number of
fields, and nothing counts what it holds. Here the bytes of all heads are
counted before they are parsed, a head without an end is refused, and few
requests are parsed ahead of the one that is served.
"""

import asyncio
import socket
from functools import partial
from itertools import islice
from typing import TYPE_CHECKING

from aiohttp import StreamReader, web
from aiohttp.http import HttpRequestParser
from aiohttp.web_protocol import _ErrInfo

from .arrivals import Arrivals, Parsed
from .bodies import fail_body
from .budget import (
    OPEN_CONNECTION_BYTES,
    RETRY_AFTER_S,
    Holding,
    MemoryFull,
)
from .headmeter import head_size, head_weight
from .limits import HeadTooLarge
from .waiting import WaitingConnection

if TYPE_CHECKING:
    from .server import IntakeServer

# Requests that are parsed while another one is served.
REQUESTS_AHEAD = 2
# The parser's own limit of a line: heads are limited as a whole.
MAX_LINE_BYTES = 1_000_000_000
# What is buffered of a body that is not read; aiohttp stops at twice as much.
READ_BUFFER_BYTES = 32_768
# Of what the kernel holds for a peer, so much may be unsent. It bridges the
# pauses of a peer that reads; by default the kernel takes up to 4 MB.
MAX_UNSENT_BYTES = 65_536
# What a connection of health checks or operators may hold at any time: its
# buffers, and a head of some hundred bytes.
ALWAYS_ADMITTED_BYTES = 65_536


class IntakeConnection(WaitingConnection):
    """One connection, held to the limits of what its peer may send.

    Parameters
    ==========
    intake_bytes : int
        What the connection holds, by the register's sums.
    header_s : float
        The time limit of a head, in seconds.
    """

    __slots__ = (
        '_arrivals',
        '_limits',
        '_new_parser',
        'header_s',
        'holding',
        'intake_bytes',
    )

    def __init__(self, server: 'IntakeServer', **options: object) -> None:
        """Begin without a request."""
        super().__init__(server, **options)
        decompresses = bool(options.get('auto_decompress', True))
        self.intake_bytes = 0
        self._limits = server.limits()
        self.header_s = self._limits.header_s
        self._arrivals = Arrivals()
        self._max_msg_queue_size = REQUESTS_AHEAD
        self._msg_queue_resume_size = REQUESTS_AHEAD // 2
        self._new_parser = partial(
            _parser,
            self,
            self._loop,
            self._limits.header_fields,
            decompresses=decompresses,
        )
        self._parser = self._new_parser()
        # What the request that is served holds.
        self.holding = Holding(server.register.budget)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is read, waits or is served."""
        is_served = self._current_request is not None
        has_head = bool(self._arrivals.unended_bytes)
        return not (is_served or self._messages or has_head)

    @property
    def ahead_bytes(self) -> int:
        """Return what requests that wait for another one hold."""
        if not self.has_requests_ahead:
            return 0
        return self._arrivals.weight_ahead

    @property
    def has_requests_ahead(self) -> bool:
        """Return whether a request waits for another one."""
        return len(self._messages) > int(self._current_request is None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, or close it if there is no room for it."""
        register = self.intake_server.register
        always_admits = self.intake_server.always_admits
        is_admitted = register.admit(self, may_wait=not always_admits)
        super().connection_made(transport)
        _bound_unsent(transport)
        if is_admitted or always_admits:
            return
        register.forget(self)
        self.give_way()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection holds."""
        self.intake_server.register.forget(self)
        super().connection_lost(exc)

    def data_received(self, octets: bytes) -> None:
        """Count bytes and parse them, if there is room."""
        if self._close or self._force_close:
            # Nothing that arrives now is parsed, also of a body under way.
            return
        if self.is_waiting:
            self.keep(octets)
            return
        body = self.last_body
        was_in_body = not body.is_eof()
        self._refuse_without_room(octets, was_in_body=was_in_body)
        if self.is_refused:
            return
        known_requests = self._request_count
        known_bytes = body.total_bytes
        super().data_received(octets)
        added = self._request_count - known_requests
        total = self._arrivals.unended_bytes + len(octets)
        self._note_requests(
            added, may_be_large=not octets or total > self._limits.header_bytes
        )
        if self.is_refused or not octets:
            return
        body = self.last_body
        parsed = Parsed(
            added,
            body.total_bytes if added else body.total_bytes - known_bytes,
            was_in_body,
            body.is_eof(),
            self.has_requests_ahead,
        )
        self._note_arrival(octets, parsed)

    def note_served(self) -> None:
        """Note that a request has ended."""
        server = self.intake_server
        self._limits = server.limits()
        self.header_s = self._limits.header_s
        self._arrivals.end_request()
        self.holding.close()
        if self.is_ending:
            # The response was the refusal of an unfinished body.
            self._close = True
        server.register.opened.note_used(self)
        self._hold()

    def refuse_ahead(self) -> None:
        """Refuse the requests that wait for another one, and free them."""
        self.is_refused = True
        self._messages.clear()
        if not self.last_body.is_eof():
            fail_body(self.last_body, _memory_full())
        # The old one keeps what it has not parsed.
        self._parser = self._new_parser()
        self._arrivals.forget_ahead()
        self.append_error(_memory_full())
        self._hold()

    def _refuse_without_room(self, octets: bytes, *, was_in_body: bool) -> None:
        """Refuse heads that memory is short for, before they are parsed."""
        if self.is_refused or was_in_body:
            return
        server = self.intake_server
        weight = head_weight(octets)
        held = self.intake_bytes + weight
        if server.always_admits and held <= ALWAYS_ADMITTED_BYTES:
            return
        if not server.register.has_room(weight, self):
            self.refuse(_memory_full())

    def _note_requests(self, added: int, *, may_be_large: bool) -> None:
        """Know the requests that were just parsed, and refuse large heads."""
        first = len(self._messages) - added
        for message, body in tuple(islice(self._messages, first, None)):
            _fail_unfinished(self.last_body)
            if isinstance(message, _ErrInfo):
                # What follows can't be parsed.
                self.is_refused = True
                return
            if may_be_large and head_size(message) > self._limits.header_bytes:
                self._refuse_from(first)
                return
            self.last_body = body
            self._arrivals.add_request()
            first += 1

    def _refuse_from(self, position: int) -> None:
        """Refuse a parsed request, and drop those that follow it."""
        ahead = tuple(islice(self._messages, position))
        self._messages.clear()
        self._messages.extend(ahead)
        self.is_refused = True
        self.append_error(_head_too_large())

    def _note_arrival(self, octets: bytes, parsed: Parsed) -> None:
        """Count what was parsed, and limit a head that has not ended."""
        arrivals = self._arrivals
        register = self.intake_server.register
        if parsed.has_progress:
            arrivals.note_parsed(octets, parsed)
            register.opened.heads.end(self)
        elif self._buffer_paused or self._reading_paused:
            arrivals.note_unparsed(octets, is_body=parsed.was_in_body)
        else:
            arrivals.note_unended(octets)
            if not parsed.was_in_body:
                register.opened.heads.begin(self)
        self._hold()
        if arrivals.unended_bytes > self._limits.header_bytes:
            self.refuse(_head_too_large())

    def _hold(self) -> None:
        self.intake_server.register.hold(
            self, OPEN_CONNECTION_BYTES + self._arrivals.weight
        )


def _bound_unsent(transport: asyncio.BaseTransport) -> None:
    """Bound what is buffered for a peer that does not read.

    Explanation
    ===========
    The write buffer counts as full as soon as it is not empty, so that nothing
    more is produced for such a peer.
    """
    if isinstance(transport, asyncio.WriteTransport):
        transport.set_write_buffer_limits(high=0)
    connected = transport.get_extra_info('socket')
    connected.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES
    )


def _parser(
    connection: IntakeConnection,
    loop: asyncio.AbstractEventLoop,
    max_fields: int,
    *,
    decompresses: bool,
) -> HttpRequestParser:
    """Return a parser for few requests ahead, and heads of any form."""
    return HttpRequestParser(
        connection,
        loop,
        READ_BUFFER_BYTES,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        max_headers=max_fields,
        payload_exception=web.RequestPayloadError,
        auto_decompress=decompresses,
        max_msg_queue_size=REQUESTS_AHEAD,
    )


def _fail_unfinished(body: StreamReader) -> None:
    # A message can't begin within a body, so it is the parser's error.
    if not body.is_eof():
        body.set_exception(web.RequestPayloadError('malformed body'))


def _memory_full() -> MemoryFull:
    return MemoryFull(
        'the memory of this VM is in use', retry_after=RETRY_AFTER_S
    )


def _head_too_large() -> HeadTooLarge:
    return HeadTooLarge('the head of the request is too long')
