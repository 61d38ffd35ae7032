"""Requests at a steady rate, spread over the routers of a loopback site."""

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..standins.groupengine import GroupEngine
from .platformsite import PlatformSite


@dataclass(slots=True)
class SteadyLoad:
    """Sends requests one after the other, to each router in turn.

    Parameters
    ==========
    parts : tuple of int
        Of so many requests each router gets this number, by the balancer;
        equally many if it is empty.
    statuses : list of int
        Statuses of the responses that arrived, in order of arrival.
    """

    site: PlatformSite
    path: str
    rate_per_s: float
    parts: tuple[int, ...] = ()
    statuses: list[int] = field(default_factory=list)

    async def run(self, duration_s: float) -> None:
        """Send for a time, and wait for all responses."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        async with asyncio.TaskGroup() as sends:
            for number in itertools.count():
                at = began_at + number / self.rate_per_s
                if at > began_at + duration_s:
                    break
                await asyncio.sleep(at - loop.time())
                sends.create_task(self._send(number))

    async def _send(self, number: int) -> None:
        router = self._router(number)
        async with self.site.request(self.path, router=router) as response:
            await response.read()
            self.statuses.append(response.status)

    def _router(self, number: int) -> int:
        if not self.parts:
            return number % len(self.site.routers)
        turn = [
            router
            for router, count in enumerate(self.parts)
            for _ in range(count)
        ]
        return turn[number % len(turn)]


def most_received(engine: GroupEngine, since: float, window_s: float) -> int:
    """Return the most requests that an engine got in any window of a length.

    Parameters
    ==========
    since : float
        Time of the event loop, in seconds; earlier requests don't count.
    """
    times: Sequence[float] = [
        received.received_at
        for received in engine.received_requests
        if received.received_at >= since
    ]
    return max(
        (
            sum(start <= time < start + window_s for time in times)
            for start in times
        ),
        default=0,
    )
