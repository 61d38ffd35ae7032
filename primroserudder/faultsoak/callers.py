"""Callers of the soak, and a record of each request that they send."""

import asyncio
import enum
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

import aiohttp

from ..platform import names
from ..testing.platformsite import HOST, KEY

MEAN_PAUSE_S = 0.05
REQUEST_TIMEOUT_S = 3.0
# This share of requests is cancelled by the caller, often during the response.
CANCELLED_SHARE = 0.08
MAX_CANCEL_DELAY_S = 0.15
FIRST_PART = '5c1e07a2'
SOUND_PROMPT = f'{FIRST_PART}:800,a1:410,e4402b7d:250'
QUARANTINED = b'"code":"quarantined"'


class RequestKind(enum.Enum):
    """Kinds of requests; the value is the path of the route."""

    STREAM = '/notes/1'
    ONCE_ONLY = '/refunds/1'
    REPEATABLE = '/lookups/1'


class Ending(enum.Enum):
    """How an exchange ended for the caller."""

    ANSWERED = enum.auto()
    NO_CONNECTION = enum.auto()
    CUT_BEFORE_ANSWER = enum.auto()
    CUT_WITHIN_ANSWER = enum.auto()
    LEFT = enum.auto()


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request and the response that its caller received."""

    request_id: str
    kind: RequestKind
    router: int
    began_at: float
    ended_at: float
    ending: Ending
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''

    def is_served(self) -> bool:
        """Return whether the caller received a complete OK response."""
        is_complete = self.ending is Ending.ANSWERED
        return is_complete and self.status == HTTPStatus.OK

    def is_quarantined(self) -> bool:
        """Return whether the request was refused for what it holds."""
        return QUARANTINED in self.body


@dataclass(slots=True)
class _Answer:
    """The part of a response that has arrived so far."""

    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class Caller:
    """One caller, which reuses its connections and sends requests in a loop."""

    name: str
    rng: random.Random
    addresses: Callable[[], Sequence[str]]
    exchanges: list[Exchange]
    _sent_count: int = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        timeout = aiohttp.ClientTimeout(total=None)
        jar = aiohttp.DummyCookieJar()
        async with aiohttp.ClientSession(
            timeout=timeout, cookie_jar=jar
        ) as session:
            while True:
                await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
                self.exchanges.append(await self._send_next(session))

    async def _send_next(self, session: aiohttp.ClientSession) -> Exchange:
        self._sent_count += 1
        request_id = f'{self.name}-{self._sent_count}'
        kind = self.rng.choice(tuple(RequestKind))
        addresses = self.addresses()
        router = self.rng.randrange(len(addresses))
        url = f'http://{addresses[router]}{kind.value}'
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        answer = _Answer()
        ending = await _send(
            session, url, request_id, answer, self._timeout_s()
        )
        return Exchange(
            request_id,
            kind,
            router,
            began_at,
            loop.time(),
            ending,
            answer.status,
            answer.headers,
            b''.join(answer.chunks),
        )

    def _timeout_s(self) -> float:
        """Return the seconds after which the caller cancels the request."""
        is_cancelled = self.rng.random() < CANCELLED_SHARE
        timeout_s = self.rng.uniform(0, MAX_CANCEL_DELAY_S)
        return timeout_s if is_cancelled else REQUEST_TIMEOUT_S


async def _send(
    session: aiohttp.ClientSession,
    url: str,
    request_id: str,
    answer: _Answer,
    timeout_s: float,
) -> Ending:
    headers = {
        'Host': HOST,
        'Authorization': f'Bearer {KEY}',
        names.ATTEMPT_ID: request_id,
        names.MODEL: 'small',
        names.PREFIX_HASH: SOUND_PROMPT,
        names.DEADLINE_MS: str(round(REQUEST_TIMEOUT_S * 1000)),
    }
    try:
        async with asyncio.timeout(timeout_s):
            await _read(session, url, headers, answer)
    except TimeoutError:
        return Ending.LEFT
    except aiohttp.ClientConnectorError:
        return Ending.NO_CONNECTION
    except (aiohttp.ClientError, OSError):
        if answer.status:
            return Ending.CUT_WITHIN_ANSWER
        return Ending.CUT_BEFORE_ANSWER
    return Ending.ANSWERED


async def _read(
    session: aiohttp.ClientSession,
    url: str,
    headers: Mapping[str, str],
    answer: _Answer,
) -> None:
    # The client retries idempotent methods by itself, but never a POST.
    async with session.post(url, headers=headers, data=b'text') as response:
        answer.status = response.status
        answer.headers = dict(response.headers)
        async for chunk in response.content.iter_any():
            answer.chunks.append(chunk)
