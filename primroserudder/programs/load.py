"""The program ``rudder-load``: a bounded, seeded load tool."""

import argparse
import asyncio
import pathlib
import random
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp
import orjson

from ..process.clock import Clock, SystemClock
from ..process.metrics import Latency
from .common import EXIT_FAILED, EXIT_OK, parser, run

STREAM_END = b'data: [DONE]\n\n'
DATA_PREFIX = b'\ndata: '
LOOPBACK_PREFIXES = ('http://127.', 'https://127.')
PROMPT_WORDS = (
    'batch', 'kiln', 'sack', 'grade', 'burn', 'yard', 'jar', 'gate',
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What load to give."""

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


@dataclass(slots=True)
class LoadReport:
    """What came back; durations in seconds."""

    outcomes_by_code: Counter[str] = field(default_factory=Counter)
    tokens: int = 0
    elapsed_s: float = 0
    time_to_first_token: Latency = field(default_factory=Latency)
    time_between_tokens: Latency = field(default_factory=Latency)
    duration: Latency = field(default_factory=Latency)

    def as_json(self) -> dict[str, object]:
        """Return the report for machines."""
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
    """Gives an open-loop load, bounded in count and concurrency."""

    session: aiohttp.ClientSession
    plan: LoadPlan
    clock: Clock
    rng: random.Random
    report: LoadReport = field(default_factory=LoadReport)

    async def run(self) -> LoadReport:
        """Give the load and return what came back."""
        gate = asyncio.Semaphore(self.plan.concurrency)
        began = self.clock.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for index in range(self.plan.requests):
                tasks.create_task(self._bounded(index, gate))
                await asyncio.sleep(self.rng.expovariate(self.plan.rate))
        self.report.elapsed_s = self.clock.monotonic() - began
        return self.report

    async def _bounded(self, index: int, gate: asyncio.Semaphore) -> None:
        async with gate:
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
            code = await self._read(response, began)
        self.report.duration.record(self.clock.monotonic() - began)
        return code

    async def _read(
        self,
        response: aiohttp.ClientResponse,
        began: float,
    ) -> str:
        if not self.plan.is_streamed:
            body = orjson.loads(await response.read())
            self.report.tokens += body['usage']['completion_tokens']
            return 'ok'
        last = began
        tail = b''
        async for chunk in response.content.iter_any():
            now = self.clock.monotonic()
            self._note_chunk(chunk, now, last, is_first=last == began)
            last = now
            tail = (tail + chunk)[-len(STREAM_END) :]
        return 'ok' if tail == STREAM_END else 'cut'

    def _note_chunk(
        self,
        chunk: bytes,
        now: float,
        last: float,
        *,
        is_first: bool,
    ) -> None:
        report = self.report
        latency = (
            report.time_to_first_token
            if is_first
            else report.time_between_tokens
        )
        latency.record(now - last)
        report.tokens += chunk.count(DATA_PREFIX) - chunk.count(b'[DONE]')

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


_FLAGS: Sequence[tuple[str, type, float]] = (
    ('--requests', int, 100),
    ('--rate', float, 50),
    ('--concurrency', int, 200),
    ('--prompt-words', int, 64),
    ('--max-tokens', int, 32),
    ('--seed', int, 1),
)


def _parser() -> argparse.ArgumentParser:
    made = parser('rudder-load', 'Gives a bounded load and reports on it.')
    for name, text in (
        ('--url', "an entry's callers' port; repeat for more"),
        ('--key', "a workspace's key; repeat for more"),
    ):
        made.add_argument(name, action='append', required=True, help=text)
    made.add_argument('--model', required=True)
    for flag, kind, default in _FLAGS:
        made.add_argument(flag, type=kind, default=default)
    made.add_argument('--whole', action='store_true', help='do not stream')
    made.add_argument('--json', action='store_true')
    made.add_argument(
        '--plot',
        type=pathlib.Path,
        metavar='FILE.png',
        help='draw the latency percentiles',
    )
    return made


async def _main(arguments: argparse.Namespace) -> int:
    plan = LoadPlan(
        urls=tuple(arguments.url),
        keys=tuple(arguments.key),
        model=arguments.model,
        requests=arguments.requests,
        rate=arguments.rate,
        concurrency=arguments.concurrency,
        prompt_words=arguments.prompt_words,
        max_tokens=arguments.max_tokens,
        is_streamed=not arguments.whole,
        seed=arguments.seed,
    )
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        tool = LoadTool(
            session,
            plan,
            SystemClock(),
            random.Random(plan.seed),
        )
        report = await tool.run()
    _show(report, as_json=arguments.json)
    if arguments.plot is not None:
        _plot(report, arguments.plot)
    is_clean = set(report.outcomes_by_code) == {'ok'}
    return EXIT_OK if is_clean else EXIT_FAILED


def _show(report: LoadReport, *, as_json: bool) -> None:
    found = report.as_json()
    if as_json:
        text = orjson.dumps(found, option=orjson.OPT_INDENT_2).decode()
        sys.stdout.write(f'{text}\n')
        return
    for name, figure in found.items():
        sys.stdout.write(f'{name}: {figure}\n')


def _plot(report: LoadReport, path: pathlib.Path) -> None:
    # The plotting library is an extra, imported only where it is asked for.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 4))
    axes = figure.subplots()
    percentiles = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9)
    for label, latency in (
        ('time to first token', report.time_to_first_token),
        ('time between tokens', report.time_between_tokens),
    ):
        axes.plot(
            percentiles,
            [latency.percentile_s(percent) for percent in percentiles],
            label=label,
        )
    axes.set_xlabel('percentile')
    axes.set_ylabel('seconds')
    axes.legend()
    figure.savefig(path)


def main() -> None:
    """Give a load to addresses on this machine."""
    made = _parser()
    arguments = made.parse_args()
    for url in arguments.url:
        if not url.startswith(LOOPBACK_PREFIXES):
            made.error(f'--url {url}: expected http://127.…, loopback only')
    sys.exit(run(_main(arguments)))
