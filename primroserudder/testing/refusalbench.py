"""Measures refusals under overload over real sockets on loopback."""

import asyncio
import uuid
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp
import orjson

from ..process.clock import SystemClock
from ..process.metrics import Latency
from ..programs.demo import DEMO_KEY, EXAMPLE
from ..programs.local import FAILURE_DOMAINS, LOCAL_TOKEN, Local
from ..programs.operatorclient import OperatorClient

REQUESTS = 1500
RATE_PER_S = 200.0
TOKENS = 300
READY_POLL_S = 0.2
READY_POLLS = 100
P99 = 99
REFUSAL_TARGET_S = 0.05


@dataclass(frozen=True, slots=True)
class Refusals:
    """Outcomes of the requests and durations of the refusals."""

    outcomes_by_code: dict[str, int]
    with_retry_after: int
    said_not_run: int
    p50_s: float
    p99_s: float
    share_within_target: float


@dataclass(slots=True)
class RefusalBench:
    """Sends more requests than one entry can forward."""

    session: aiohttp.ClientSession
    url: str
    clock: SystemClock = field(default_factory=SystemClock)
    outcomes: Counter[str] = field(default_factory=Counter)
    latency: Latency = field(default_factory=Latency)
    within_target: int = 0
    with_retry_after: int = 0
    said_not_run: int = 0

    async def run(self) -> Refusals:
        """Send all requests and return the refusals."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(REQUESTS):
                tasks.create_task(self._send(number))
                await asyncio.sleep(1 / RATE_PER_S)
        refused = max(1, self.latency.histogram.get_total_count())
        return Refusals(
            outcomes_by_code=dict(self.outcomes),
            with_retry_after=self.with_retry_after,
            said_not_run=self.said_not_run,
            p50_s=self.latency.percentile_s(50),
            p99_s=self.latency.percentile_s(P99),
            share_within_target=self.within_target / refused,
        )

    async def _send(self, number: int) -> None:
        body = {
            'model': 'ledger',
            'prompt': f'batch {number}',
            'max_tokens': TOKENS,
        }
        started_at = self.clock.monotonic()
        async with self.session.post(
            f'{self.url}/v1/completions',
            json=body,
            headers={'Authorization': f'Bearer {DEMO_KEY}'},
        ) as response:
            answer = orjson.loads(await response.read())
            elapsed_s = self.clock.monotonic() - started_at
            if response.status == HTTPStatus.OK:
                self.outcomes['ok'] += 1
                return
            self.outcomes[answer['code']] += 1
            self._record_refusal(response, elapsed_s)

    def _record_refusal(
        self, response: aiohttp.ClientResponse, elapsed_s: float
    ) -> None:
        self.latency.record(elapsed_s)
        self.within_target += elapsed_s <= REFUSAL_TARGET_S
        self.with_retry_after += 'Retry-After' in response.headers
        self.said_not_run += response.headers.get('Rudder-Ran') == 'no'


async def measure_refusals() -> Refusals:
    """Return the refusals of one entry of a local site."""
    local = Local()
    await local.start()
    async with AsyncExitStack() as stack:
        stack.push_async_callback(local.stop)
        connector = aiohttp.TCPConnector(limit=0)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=connector),
        )
        ports = local.ports()
        operators = ports['operators'][FAILURE_DOMAINS[0]]
        client = OperatorClient(
            session,
            f'http://127.0.0.1:{operators}',
            LOCAL_TOKEN,
        )
        await _configure(client)
        callers = ports['callers'][FAILURE_DOMAINS[0]]
        return await RefusalBench(session, f'http://127.0.0.1:{callers}').run()


async def _configure(client: OperatorClient) -> None:
    submission = uuid.uuid4().hex
    path = f'/v1/config?base=0&submission={submission}'
    await client.post(path, EXAMPLE.read_bytes())
    for _ in range(READY_POLLS):
        groups = (await client.get('/state'))['groups'].values()
        if groups and all(group['state'] == 'serving' for group in groups):
            return
        await asyncio.sleep(READY_POLL_S)
