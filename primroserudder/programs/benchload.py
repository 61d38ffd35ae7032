"""Load generator of the relay benchmark, on raw connections for low cost."""

import asyncio
import pathlib
from collections import Counter
from dataclasses import dataclass, field
from typing import cast

import orjson

END_MARK = b'[DONE]'
TOKEN_MARK = b'\nid: '
STEPS_PER_S = 10_000
PERCENT = 100
# Index of utime, which stime follows, counted from the field after the name.
CPU_FIELDS = 11
PROMPT_WORDS = 64
TICKS_PER_S = 100


@dataclass(frozen=True, slots=True)
class Target:
    """A local port that receives load, and the process to measure, if any."""

    name: str
    port: int
    key: str
    pid: int = 0

    def request(self, tokens: int) -> bytes:
        """Return a streaming completion request with this token limit."""
        words = ' '.join(f'word{index}' for index in range(PROMPT_WORDS))
        body = orjson.dumps(
            {
                'model': 'ledger',
                'prompt': words,
                'max_tokens': tokens,
                'stream': True,
            }
        )
        return (
            b'POST /v1/completions HTTP/1.1\r\nHost: bench\r\n'
            b'Authorization: Bearer %s\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%s'
        ) % (self.key.encode(), len(body), body)

    def processor_s(self) -> float:
        """Return the CPU seconds of the target's process; 0 without a pid."""
        if not self.pid:
            return 0
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        used = stat.rpartition(')')[2].split()
        ticks = map(int, used[CPU_FIELDS : CPU_FIELDS + 2])
        return sum(ticks) / TICKS_PER_S


@dataclass(slots=True)
class Tally:
    """Counts of tokens, gaps, failures and completed streams."""

    is_open: bool = False
    tokens: int = 0
    failures: int = 0
    completed: int = 0
    gaps_by_step: Counter[int] = field(default_factory=Counter)

    def gap_s(self, percent: float) -> float:
        """Return a percentile of the seconds between tokens; 0 without any."""
        threshold = sum(self.gaps_by_step.values()) * percent / PERCENT
        cumulative = 0
        for step, count in sorted(self.gaps_by_step.items()):
            cumulative += count
            if cumulative >= threshold:
                return step / STEPS_PER_S
        return 0


class LoadProtocol(asyncio.Protocol):
    """Sends one request and counts the tokens of the response."""

    def __init__(self, request: bytes, tally: Tally) -> None:
        """Set the initial state."""
        self.request = request
        self.tally = tally
        self.loop = asyncio.get_running_loop()
        self.last_at: float = 0
        self.is_done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.request)

    def data_received(self, chunk: bytes) -> None:
        """Count the tokens and record the time between them."""
        now = self.loop.time()
        tokens = chunk.count(TOKEN_MARK)
        if self.tally.is_open and self.last_at and tokens:
            self.tally.tokens += tokens
            gaps = self.tally.gaps_by_step
            gaps[int((now - self.last_at) * STEPS_PER_S)] += 1
            if tokens > 1:
                gaps[0] += tokens - 1
        if tokens:
            self.last_at = now
        if END_MARK in chunk:
            self.is_done = True
            self.tally.completed += 1
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Count a failure if the response has no end mark."""
        self.tally.failures += not self.is_done


async def hold_streams(
    target: Target,
    streams: int,
    seconds: float,
    warm_s: float,
) -> tuple[Tally, float]:
    """Keep a number of streams open; return the tally and CPU seconds."""
    tally = Tally()
    interval_s = 0.04
    request = target.request(int((seconds + 2 * warm_s) / interval_s))
    transports = [
        await open_stream(target, request, tally) for _ in range(streams)
    ]
    await asyncio.sleep(warm_s)
    tally.is_open = True
    before = target.processor_s()
    await asyncio.sleep(seconds)
    used = target.processor_s() - before
    tally.is_open = False
    failures = tally.failures
    for transport in transports:
        transport.abort()
    # Streams that are aborted here do not count as failures.
    await asyncio.sleep(0)
    tally.failures = failures
    return tally, used


async def open_at_rate(
    target: Target,
    rate: float,
    tokens: int,
    seconds: float,
) -> tuple[Tally, float]:
    """Open streams at a rate per second; return the tally and CPU seconds.

    Explanation
    ===========
    The measurement starts when the first streams are due to end.
    """
    tally = Tally()
    loop = asyncio.get_running_loop()
    request = target.request(tokens)
    interval_s = 0.04
    warm_up_count = int(rate * tokens * interval_s)
    began = loop.time()
    before: float = 0
    for index in range(warm_up_count + int(rate * seconds)):
        await asyncio.sleep(max(0, began + index / rate - loop.time()))
        await open_stream(target, request, tally)
        if index == warm_up_count:
            tally.is_open = True
            before = target.processor_s()
    tally.is_open = False
    used = target.processor_s() - before
    await asyncio.sleep(tokens * interval_s + 1)
    return tally, used


async def open_stream(
    target: Target,
    request: bytes,
    tally: Tally,
) -> asyncio.Transport:
    """Send one request on a new connection."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(
        lambda: LoadProtocol(request, tally),
        '127.0.0.1',
        target.port,
    )
    return transport
