"""Random, seeded faults of a soak."""

import asyncio
import os
import random
import signal
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field

import aiohttp

from .siteplan import Site

MAX_PAUSE_S = 5
MAX_OUTAGE_S = 15
SLOW_PLATFORM_S = 0.5
SLOWDOWN = 5
MEAN_BETWEEN_FAULTS_S = 3

Fault = Callable[[], Coroutine[None, None, None]]


@dataclass(slots=True)
class SoakFaults:
    """Injects random faults for a given time."""

    session: aiohttp.ClientSession
    site: Site
    rng: random.Random
    pids: Sequence[int]
    shown_by_name: Counter[str] = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Inject faults for a time; each has ended when this returns."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < ends_at:
                mean = 1 / MEAN_BETWEEN_FAULTS_S
                await asyncio.sleep(self.rng.expovariate(mean))
                inject = self.rng.choice(self._faults())
                self.shown_by_name[inject.__name__] += 1
                tasks.create_task(inject())

    async def crash_engine(self) -> None:
        """Crash an engine's process, which then restarts."""
        await self._post(self._engine(), '/crash', {})

    async def kill_engine(self) -> None:
        """Make an engine abort its connections for a while."""
        await self._for_a_while(self._engine(), 'is_dead', True, False)

    async def pause_engine(self) -> None:
        """Pause an engine for a while."""
        await self._for_a_while(self._engine(), 'is_paused', True, False)

    async def slow_engine(self) -> None:
        """Slow down an engine for a while."""
        await self._for_a_while(self._engine(), 'slowdown', SLOWDOWN, 1)

    async def platform_down(self) -> None:
        """Make the platform unavailable for a while."""
        await self._for_a_while(
            self.site.platform_url,
            'is_down',
            True,
            False,
        )

    async def platform_slow(self) -> None:
        """Delay the platform's answers for a while."""
        await self._for_a_while(
            self.site.platform_url,
            'delay_s',
            SLOW_PLATFORM_S,
            0,
        )

    async def lose_answers(self) -> None:
        """Drop the platform's answers to the next writes."""
        lost = {'lose_answers': self.rng.randint(1, 4)}
        await self._post(self.site.platform_url, '/faults', lost)

    async def pause_process(self) -> None:
        """Stop the process of an entry or a controller for a while."""
        pid = self.rng.choice(self.pids)
        os.kill(pid, signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
        os.kill(pid, signal.SIGCONT)

    def _faults(self) -> Sequence[Fault]:
        return [
            self.crash_engine,
            self.crash_engine,
            self.kill_engine,
            self.pause_engine,
            self.slow_engine,
            self.platform_down,
            self.platform_slow,
            self.lose_answers,
            self.pause_process,
        ]

    def _engine(self) -> str:
        return self.rng.choice(self.site.engine_urls())

    async def _for_a_while(
        self,
        url: str,
        name: str,
        during: float,
        after: float,
    ) -> None:
        await self._post(url, '/faults', {name: during})
        await asyncio.sleep(self.rng.uniform(1, MAX_OUTAGE_S))
        await self._post(url, '/faults', {name: after})

    async def _post(self, url: str, path: str, body: object) -> None:
        async with self.session.post(f'{url}{path}', json=body) as response:
            response.raise_for_status()
