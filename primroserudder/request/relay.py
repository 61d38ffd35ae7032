"""Relay of the events of one stream to the caller."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..process.engines import EngineAnswer, UpstreamLost

EVENT_END = b'\n\n'
STREAM_END = b'data: [DONE]\n\n'
MAX_EVENT_BYTES = 1_048_576

_POSITION = re.compile(rb'(?:^|\n)id: (\d+)\n')

Send = Callable[[bytes], Awaitable[None]]


@dataclass(slots=True)
class StreamRelay:
    """Forwards complete events, each position once and in order.

    Explanation
    ===========
    ``position`` is the number of tokens delivered to the caller; the next
    attempt resumes from there. Bytes are forwarded unchanged. ``is_sending``
    is true while a send to the caller is pending.
    """

    send: Send
    position: int = 0
    is_complete: bool = False
    is_sending: bool = False
    _tail: bytes = field(default=b'')

    async def run(self, answer: EngineAnswer) -> None:
        """Relay the stream of one attempt up to its end mark.

        Raises
        ======
        UpstreamLost
            The stream broke, skipped or repeated a position, or ended without
            its end mark.
        """
        self._tail = b''
        async for chunk in answer.chunks():
            # Nearly every chunk is one complete event, which needs no copy.
            if self._tail or not chunk.endswith(EVENT_END):
                chunk = self._whole_events(chunk)
            if chunk:
                await self._forward(chunk)
            if self.is_complete:
                return
        raise UpstreamLost('the stream ended without its end mark')

    async def _forward(self, events: bytes) -> None:
        # The position advances only if the whole batch is in order. It does
        # so before the send, since bytes that are handed to the transport
        # count as delivered.
        self.position = self._position_after(events)
        self.is_sending = True
        await self.send(events)
        self.is_sending = False
        self.is_complete = events.endswith(STREAM_END)

    def _whole_events(self, chunk: bytes) -> bytes:
        received = self._tail + chunk
        whole_length = received.rfind(EVENT_END) + len(EVENT_END)
        if whole_length < len(EVENT_END):
            whole_length = 0
        self._tail = received[whole_length:]
        if len(self._tail) > MAX_EVENT_BYTES:
            raise UpstreamLost(
                f'got an event of more than {MAX_EVENT_BYTES} bytes',
            )
        return received[:whole_length]

    def _position_after(self, events: bytes) -> int:
        position = self.position
        # Fast path: nearly every chunk is the single event expected next.
        if events.startswith(b'id: %d\n' % position):
            if events.find(EVENT_END) == len(events) - len(EVENT_END):
                return position + 1
        for event_position in _POSITION.findall(events):
            if int(event_position) != position:
                raise UpstreamLost(
                    f'got token {int(event_position)}: expected {position}',
                )
            position += 1
        return position
