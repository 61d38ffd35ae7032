"""Generates a bounded, seeded load and measures the responses."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp
import orjson

from ..process.clock import Clock
from ..process.metrics import Latency

STREAM_END = b'data: [DONE]\n\n'
TOKEN_MARK = b'data: {'
PROMPT_WORDS = (
    'batch', 'kiln', 'sack', 'grade', 'burn', 'yard', 'jar', 'gate',
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load; the rate is in requests per second."""

    urls: tuple[str, ...]
    keys: tuple[str, ...]
    model: str
    requests: int
    rate: float
    concurrency: int
    prompt_words: int
    max_tokens: int
    is_streamed: bool
    seed: int
    max_seconds: float = 3600


@dataclass(slots=True)
class LoadReport:
    """Measured results of a load; durations are in seconds."""

    outcomes_by_code: Counter[str] = field(default_factory=Counter)
    tokens: int = 0
    elapsed_s: float = 0
    time_to_first_token: Latency = field(default_factory=Latency)
    time_between_tokens: Latency = field(default_factory=Latency)
    duration: Latency = field(default_factory=Latency)

    def as_json(self) -> dict[str, object]:
        """Return the report as a JSON-compatible object."""
        elapsed = self.elapsed_s or 1
        return {
            'outcomes_by_code': dict(self.outcomes_by_code),
            'elapsed_s': round(self.elapsed_s, 3),
            'tokens': self.tokens,
            'tokens_per_s': round(self.tokens / elapsed, 1),
            'time_to_first_token': self.time_to_first_token.summary(),
            'time_between_tokens': self.time_between_tokens.summary(),
            'duration': self.duration.summary(),
        }


@dataclass(slots=True)
class LoadTool:
    """Generates an open-loop load, bounded in count and concurrency."""

    session: aiohttp.ClientSession
    plan: LoadPlan
    clock: Clock
    rng: random.Random
    report: LoadReport = field(default_factory=LoadReport)

    async def run(self) -> LoadReport:
        """Generate the load and return the report."""
        semaphore = asyncio.Semaphore(self.plan.concurrency)
        began = self.clock.monotonic()
        deadline = began + self.plan.max_seconds
        async with asyncio.TaskGroup() as tasks:
            for index in range(self.plan.requests):
                if self.clock.monotonic() > deadline:
                    break
                tasks.create_task(self._request_within_limit(index, semaphore))
                await asyncio.sleep(self.rng.expovariate(self.plan.rate))
        self.report.elapsed_s = self.clock.monotonic() - began
        return self.report

    async def _request_within_limit(
        self,
        index: int,
        semaphore: asyncio.Semaphore,
    ) -> None:
        async with semaphore:
            try:
                code = await self._request(index)
            except (aiohttp.ClientError, asyncio.TimeoutError) as error:
                code = type(error).__name__
            self.report.outcomes_by_code[code] += 1

    async def _request(self, index: int) -> str:
        plan = self.plan
        url = plan.urls[index % len(plan.urls)]
        key = plan.keys[index % len(plan.keys)]
        began = self.clock.monotonic()
        async with self.session.post(
            f'{url}/v1/completions',
            data=self._body(index),
            headers={'Authorization': f'Bearer {key}'},
        ) as response:
            if response.status != HTTPStatus.OK:
                problem = orjson.loads(await response.read())
                return str(problem.get('code', response.status))
            code = await self._read_response(response, began)
        self.report.duration.record(self.clock.monotonic() - began)
        return code

    async def _read_response(
        self,
        response: aiohttp.ClientResponse,
        began: float,
    ) -> str:
        if not self.plan.is_streamed:
            body = orjson.loads(await response.read())
            self.report.tokens += body['usage']['completion_tokens']
            return 'ok'
        report = self.report
        latency = report.time_to_first_token
        last = began
        received = bytearray()
        async for chunk in response.content.iter_any():
            now = self.clock.monotonic()
            latency.record(now - last)
            latency = report.time_between_tokens
            last = now
            received += chunk
        report.tokens += received.count(TOKEN_MARK)
        return 'ok' if received.endswith(STREAM_END) else 'cut'

    def _body(self, index: int) -> bytes:
        words = self.rng.choices(PROMPT_WORDS, k=self.plan.prompt_words)
        prompt = ' '.join((str(index), *words))
        return orjson.dumps(
            {
                'model': self.plan.model,
                'prompt': prompt,
                'max_tokens': self.plan.max_tokens,
                'stream': self.plan.is_streamed,
            }
        )
