"""Relays the events of one stream to the caller."""

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
    """Passes whole events on, each position once and in order.

    Explanation
    ===========
    ``position`` is the number of tokens delivered to the caller; an attempt
    that takes over resumes from there. Bytes are passed on as they came.
    ``is_sending`` is true while the caller has yet to take what was sent.
    """

    send: Send
    position: int = 0
    is_complete: bool = False
    is_sending: bool = False
    _tail: bytes = field(default=b'')

    async def run(self, answer: EngineAnswer) -> None:
        """Relay one attempt to its end mark.

        Raises
        ======
        UpstreamLost
            The stream broke or ended without its end mark.
        """
        self._tail = b''
        async for chunk in answer.chunks():
            # Nearly every chunk is one whole event, which passes uncopied.
            if self._tail or not chunk.endswith(EVENT_END):
                chunk = self._whole_events(chunk)
            if chunk:
                await self._pass_on(chunk)
            if self.is_complete:
                return
        raise UpstreamLost('the stream ended without its end mark')

    async def _pass_on(self, events: bytes) -> None:
        # Counted only when the whole batch is in order, and before the send,
        # since what was handed to the transport is delivered.
        self.position = self._position_after(events)
        self.is_sending = True
        await self.send(events)
        self.is_sending = False
        self.is_complete = events.endswith(STREAM_END)

    def _whole_events(self, chunk: bytes) -> bytes:
        received = self._tail + chunk
        cut = received.rfind(EVENT_END) + len(EVENT_END)
        if cut < len(EVENT_END):
            cut = 0
        self._tail = received[cut:]
        if len(self._tail) > MAX_EVENT_BYTES:
            raise UpstreamLost(
                f'got an event of more than {MAX_EVENT_BYTES} bytes',
            )
        return received[:cut]

    def _position_after(self, events: bytes) -> int:
        position = self.position
        # Nearly every chunk is the one event that is expected next.
        if events.startswith(b'id: %d\n' % position):
            if events.find(EVENT_END) == len(events) - len(EVENT_END):
                return position + 1
        for found in _POSITION.findall(events):
            if int(found) != position:
                raise UpstreamLost(
                    f'got token {int(found)}: expected {position}',
                )
            position += 1
        return position
