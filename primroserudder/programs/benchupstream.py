"""Upstream of the relay benchmark: a simulated engine of very low cost.

Explanation
===========
It writes prebuilt events of one token each at a fixed interval, directly to
the transports. Streams are spread over phases of the interval, so that tokens
are spread over time instead of arriving in bursts.
"""

import asyncio
import itertools
import re
from dataclasses import dataclass, field
from typing import cast

import orjson

TOKEN_INTERVAL_S = 0.04
PHASES = 20
HEAD_END = b'\r\n\r\n'
STATUS_REQUEST = b'GET /status'
_LENGTH = re.compile(rb'(?i)content-length: (\d+)')
_TOKENS = re.compile(rb'"max_tokens":(\d+)')
_ECHO = re.compile(rb'(?i)engine-(request-id|attempt): ([^\r]*)')
_END_MARK = b'e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n'


@dataclass(slots=True)
class BenchStream:
    """A response that is being written."""

    transport: asyncio.WriteTransport
    tokens: int
    position: int = 0


@dataclass(slots=True)
class BenchEngine:
    """Writes all active streams, grouped by phase of the interval."""

    status: bytes
    by_phase: list[list[BenchStream]] = field(
        default_factory=lambda: [[] for _ in range(PHASES)],
    )
    events: list[bytes] = field(default_factory=list)
    arrivals: int = 0

    def add(self, stream: BenchStream) -> None:
        """Start to write a stream."""
        missing = range(len(self.events), stream.tokens)
        self.events.extend(map(_event, missing))
        self.by_phase[self.arrivals % PHASES].append(stream)
        self.arrivals += 1

    async def run(self) -> None:
        """Write one token of each stream per interval."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        for tick in itertools.count():
            due = began + tick * TOKEN_INTERVAL_S / PHASES
            await asyncio.sleep(max(0, due - loop.time()))
            phase = tick % PHASES
            self.by_phase[phase] = list(
                filter(self._write, self.by_phase[phase]),
            )

    def _write(self, stream: BenchStream) -> bool:
        if stream.transport.is_closing():
            return False
        if stream.position == stream.tokens:
            stream.transport.write(_END_MARK)
            return False
        stream.transport.write(self.events[stream.position])
        stream.position += 1
        return True


class BenchProtocol(asyncio.Protocol):
    """Reads the requests of one connection."""

    def __init__(self, engine: BenchEngine) -> None:
        """Set the initial state."""
        self.engine = engine
        self.received = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the responses."""
        self.transport = cast(asyncio.WriteTransport, transport)

    def data_received(self, chunk: bytes) -> None:
        """Respond once the request is complete."""
        self.received += chunk
        head, end, body = self.received.partition(HEAD_END)
        length = _LENGTH.search(head)
        if not end or (length and len(body) < int(length.group(1))):
            return
        self.received = b''
        if head.startswith(STATUS_REQUEST):
            self._respond(self.engine.status)
            return
        echoed_headers = b''.join(
            b'Engine-%s: %s\r\n' % pair for pair in _ECHO.findall(head)
        )
        self.transport.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'%sTransfer-Encoding: chunked\r\n\r\n' % echoed_headers,
        )
        limit = _TOKENS.search(body)
        assert limit is not None
        stream = BenchStream(self.transport, int(limit.group(1)))
        self.engine.add(stream)

    def _respond(self, body: bytes) -> None:
        size = len(body)
        self.transport.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (size, body),
        )


def _event(position: int) -> bytes:
    body = orjson.dumps(
        {
            'id': 'req-0123456789abcdef0123456789abcdef',
            'object': 'text_completion',
            'created': 1_700_000_000,
            'model': 'ledger',
            'choices': [{'index': 0, 'text': ' kiln', 'finish_reason': None}],
        }
    )
    event = b'id: %d\ndata: %s\n\n' % (position, body)
    return b'%x\r\n%s\r\n' % (len(event), event)
