"""Requests with prompts in parts, no two alike, some of which crash engines."""

import asyncio
import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import aiohttp

from ..standins.groupengine import PROMPT
from .platformsite import PlatformSite

FIRST_PART = '5c1e07a2'
CRASHING_PART = '91bd3f06'
OTHER_PARTS = ('a1', 'a2', 'a3')
STREAM_PATH = '/notes'
PLAIN_PATH = '/refunds'
REPEATABLE_PATH = '/lookups'
TOKENS = 410
SOUND_INTERVAL_S = 0.03
QUARANTINED = b'"code":"quarantined"'


def prompt_header(parts: Iterable[str]) -> Mapping[str, str]:
    """Return the header field of a prompt.

    Examples
    ========
    >>> prompt_header(('5c', '91'))
    {'X-Primroserudder-Prefix-Hash': '5c:410,91:410'}
    """
    entries = (f'{part}:{TOKENS}' for part in parts)
    return {PROMPT: ','.join(entries)}


@dataclass(frozen=True, slots=True)
class PromptAnswer:
    """What became of a request; the status is zero if its answer broke off."""

    sent_at: float
    status: int = 0
    is_quarantined: bool = False


@dataclass(slots=True)
class PromptCallers:
    """Sends requests to all routers in turn and records what became of them.

    Explanation
    ===========
    Each request has a path, a body and a last part of its own.
    """

    site: PlatformSite
    path: str = STREAM_PATH
    sound_answers: list[PromptAnswer] = field(default_factory=list)
    _numbers: 'itertools.count[int]' = field(default_factory=itertools.count)

    async def send(
        self, parts: Iterable[str], router: int | None = None
    ) -> PromptAnswer:
        """Send a request and return what became of it."""
        sent_at = asyncio.get_running_loop().time()
        number = next(self._numbers)
        if router is None:
            router = number % len(self.site.routers)
        try:
            async with self.site.request(
                f'{self.path}/{number}',
                headers=prompt_header((*parts, f'e{number}')),
                body=f'body {number}'.encode(),
                router=router,
            ) as response:
                body = await response.read()
                return PromptAnswer(
                    sent_at, response.status, QUARANTINED in body
                )
        except aiohttp.ClientError:
            return PromptAnswer(sent_at)

    async def send_crashing(
        self,
        sends: int,
        part: str = CRASHING_PART,
        router: int | None = None,
    ) -> list[int]:
        """Send crashing requests one after another; return the statuses."""
        answers = [
            await self.send((FIRST_PART, part), router) for _ in range(sends)
        ]
        return [answer.status for answer in answers]

    async def send_sound(self) -> None:
        """Send sound requests at a steady pace until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for other in itertools.cycle(OTHER_PARTS):
                tasks.create_task(self._send_sound(other))
                await asyncio.sleep(SOUND_INTERVAL_S)

    def sound_statuses(self, since: float) -> list[int]:
        """Return the statuses of sound requests sent since a time."""
        return [
            answer.status
            for answer in self.sound_answers
            if answer.sent_at >= since
        ]

    def refused_sound(self) -> int:
        """Return how many sound requests were refused for their content."""
        return sum(answer.is_quarantined for answer in self.sound_answers)

    async def _send_sound(self, other: str) -> None:
        self.sound_answers.append(await self.send((FIRST_PART, other)))
