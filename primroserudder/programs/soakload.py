"""Checked load of a soak: every answer is compared with the expected one."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp
import orjson

from ..standins.engine import token_text
from .siteplan import KEY, MODEL, PLAIN, Site

STREAM_END = b'data: [DONE]\n\n'
ERROR_EVENT = b'event: error\n'
CLIENT_TIMEOUT_S = 120
MIN_TOKENS, MAX_TOKENS = 5, 60
KEYED_SHARE = 0.1
REPEATS = 2
KILNS = 7


@dataclass(slots=True)
class SoakOutcomes:
    """Outcomes of requests; wrong, cut and hung ones are violations."""

    by_code: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)


@dataclass(slots=True)
class SoakLoad:
    """Sends requests at a mean rate for a given time."""

    session: aiohttp.ClientSession
    site: Site
    rng: random.Random
    outcomes: SoakOutcomes = field(default_factory=SoakOutcomes)
    requests: int = 0

    async def run(self, seconds: float, rate: float) -> None:
        """Send the load and wait for the last answer."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < ends_at:
                tasks.create_task(self._send_request(self.requests))
                self.requests += 1
                await asyncio.sleep(self.rng.expovariate(rate))

    async def _send_request(self, index: int) -> None:
        is_keyed = self.rng.random() < KEYED_SHARE
        send = self._keyed if is_keyed else self._stream
        try:
            code = await send(index)
        except aiohttp.ClientError as error:
            code = type(error).__name__
        except TimeoutError:
            code = 'timeout'
            self.outcomes.violations.append(f'request {index} hung')
        self.outcomes.by_code[code] += 1

    async def _stream(self, index: int) -> str:
        kiln = index % KILNS
        prompt = f'batch {index} of kiln {kiln}'
        tokens = self.rng.randint(MIN_TOKENS, MAX_TOKENS)
        body = {
            'model': MODEL,
            'prompt': prompt,
            'seed': index,
            'max_tokens': tokens,
            'stream': True,
        }
        async with self._post(index, '/v1/completions', body) as response:
            received = await response.read()
            if response.status != HTTPStatus.OK:
                return _code(received)
        expected = [
            token_text(prompt, index, position) for position in range(tokens)
        ]
        return self._judge(index, received, expected)

    def _judge(self, index: int, received: bytes, expected: list[str]) -> str:
        if ERROR_EVENT in received:
            return 'error_event'
        if not received.endswith(STREAM_END):
            self.outcomes.violations.append(f'request {index} was cut')
            return 'cut'
        if _texts(received) != expected:
            self.outcomes.violations.append(f'request {index} was wrong')
            return 'wrong'
        return 'ok'

    async def _keyed(self, index: int) -> str:
        code = ''
        path = f'/services/{PLAIN}/refund'
        for attempt in range(REPEATS):
            # Each repeat goes to another entry under the same key.
            async with self._post(
                index + attempt,
                path,
                f'refund-{index}',
                {'Idempotency-Key': f'key-{index}'},
            ) as response:
                received = await response.read()
                is_ok = response.status == HTTPStatus.OK
                code = 'keyed_ok' if is_ok else _code(received)
        return code

    def _post(
        self,
        index: int,
        path: str,
        body: object,
        headers: dict[str, str] | None = None,
    ) -> aiohttp.client.ClientResponse:
        url = self.site.callers_url(index % self.site.entries)
        return self.session.post(  # type: ignore[return-value]
            f'{url}{path}',
            data=body if isinstance(body, str) else orjson.dumps(body),
            headers={'Authorization': f'Bearer {KEY}', **(headers or {})},
            timeout=aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S),
        )


def _code(received: bytes) -> str:
    try:
        problem = orjson.loads(received)
    except orjson.JSONDecodeError:
        return 'untyped'
    return str(problem.get('code'))


def _texts(received: bytes) -> list[str]:
    events = [
        line.removeprefix(b'data: ')
        for line in received.split(b'\n')
        if line.startswith(b'data: {')
    ]
    return [orjson.loads(event)['choices'][0]['text'] for event in events]
