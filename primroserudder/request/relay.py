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
    """

    send: Send
    position: int = 0
    is_complete: bool = False
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
            await self._pass_on(chunk)
        if not self.is_complete:
            raise UpstreamLost('the stream ended without its end mark')

    async def _pass_on(self, chunk: bytes) -> None:
        received = self._tail + chunk
        cut = received.rfind(EVENT_END) + len(EVENT_END)
        if cut < len(EVENT_END):
            self._keep_tail(received)
            return
        events = received[:cut]
        self._keep_tail(received[cut:])
        self._check_positions(events)
        await self.send(events)
        if events.endswith(STREAM_END):
            self.is_complete = True

    def _keep_tail(self, tail: bytes) -> None:
        if len(tail) > MAX_EVENT_BYTES:
            raise UpstreamLost(
                f'got an event of more than {MAX_EVENT_BYTES} bytes',
            )
        self._tail = tail

    def _check_positions(self, events: bytes) -> None:
        for found in _POSITION.findall(events):
            if int(found) != self.position:
                raise UpstreamLost(
                    f'got token {int(found)}: expected {self.position}',
                )
            self.position += 1
