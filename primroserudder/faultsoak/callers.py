"""Callers of the soak, and what each of them was told."""

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
PATIENCE_S = 3.0
# A part of all callers leaves in the middle of its answer.
LEAVING_SHARE = 0.08
LONGEST_STAY_S = 0.15


class RequestSort(enum.Enum):
    """What callers ask for, by the path of its route."""

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
class Told:
    """One request and all that its caller saw."""

    request_id: str
    sort: RequestSort
    router: int
    began_at: float
    ended_at: float
    ending: Ending
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''

    def is_served(self) -> bool:
        """Return whether the caller has a whole answer of an engine."""
        is_whole = self.ending is Ending.ANSWERED
        return is_whole and self.status == HTTPStatus.OK


@dataclass(slots=True)
class _Answer:
    """What has arrived so far."""

    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class Caller:
    """One caller: it keeps its connections and asks again and again."""

    name: str
    rng: random.Random
    addresses: Callable[[], Sequence[str]]
    told: list[Told]
    _asked: int = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        timeout = aiohttp.ClientTimeout(total=None)
        jar = aiohttp.DummyCookieJar()
        async with aiohttp.ClientSession(
            timeout=timeout, cookie_jar=jar
        ) as session:
            while True:
                await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
                self.told.append(await self._ask(session))

    async def _ask(self, session: aiohttp.ClientSession) -> Told:
        self._asked += 1
        request_id = f'{self.name}-{self._asked}'
        sort = self.rng.choice(tuple(RequestSort))
        addresses = self.addresses()
        router = self.rng.randrange(len(addresses))
        url = f'http://{addresses[router]}{sort.value}'
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        answer = _Answer()
        ending = await _exchange(
            session, url, request_id, answer, self._stay_s()
        )
        return Told(
            request_id,
            sort,
            router,
            began_at,
            loop.time(),
            ending,
            answer.status,
            answer.headers,
            b''.join(answer.chunks),
        )

    def _stay_s(self) -> float:
        """Return how long this caller waits for its whole answer."""
        is_leaving = self.rng.random() < LEAVING_SHARE
        stay_s = self.rng.uniform(0, LONGEST_STAY_S)
        return stay_s if is_leaving else PATIENCE_S


async def _exchange(
    session: aiohttp.ClientSession,
    url: str,
    request_id: str,
    answer: _Answer,
    stay_s: float,
) -> Ending:
    headers = {
        'Host': HOST,
        'Authorization': f'Bearer {KEY}',
        names.ATTEMPT_ID: request_id,
        names.MODEL: 'small',
        names.DEADLINE_MS: str(round(PATIENCE_S * 1000)),
    }
    try:
        async with asyncio.timeout(stay_s):
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
    # POST is the one method that the client never repeats by itself.
    async with session.post(url, headers=headers, data=b'text') as response:
        answer.status = response.status
        answer.headers = dict(response.headers)
        async for chunk in response.content.iter_any():
            answer.chunks.append(chunk)
