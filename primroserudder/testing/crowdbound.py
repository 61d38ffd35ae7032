"""``bin/memory-bound --crowd``: a router's memory under a crowd of callers."""

import asyncio
import os
import pathlib
from dataclasses import dataclass
from http import HTTPStatus

from .crowdedrouter import CrowdedRouter, VmLimits, crowded_router
from .crowds import crowd
from .processuse import memory_mb

ORDINARY_PAUSE_S = 1.0


@dataclass(slots=True)
class CrowdOutcome:
    """What was seen; memory with the sockets' bytes, in megabytes."""

    rest_mb: float = 0
    peak_mb: float = 0
    peak_descriptors: int = 0
    ended: int = 0
    served: int = 0
    refused: int = 0
    is_alive: bool = False
    is_answered_after: bool = False

    def is_within(self, limits: VmLimits) -> bool:
        """Return whether all bounds were kept, and callers are served after."""
        is_in_bounds = (
            self.peak_mb <= limits.memory_mb
            and self.peak_descriptors <= limits.max_descriptors
        )
        return is_in_bounds and self.is_alive and self.is_answered_after

    def __str__(self) -> str:
        """Return the outcome in one line."""
        after = 'served' if self.is_answered_after else 'NOT SERVED'
        return (
            f'at rest {self.rest_mb:.1f} MB, peak {self.peak_mb:.1f},'
            f' {self.peak_descriptors} descriptors; {self.ended} callers lost'
            f' their connections; ordinary requests meanwhile:'
            f' {self.served} served, {self.refused} not; one after:'
            f' {after}'
        )


async def measure_crowd(
    source: pathlib.Path,
    limits: VmLimits,
    name: str,
    callers: int,
    log: str = os.devnull,
) -> CrowdOutcome:
    """Return what a checkout's router does under a crowd.

    Parameters
    ==========
    name : str
        One of ``crowds.CROWDS``.
    """
    outcome = CrowdOutcome()
    async with crowded_router(limits, source, log) as router:
        outcome.rest_mb = memory_mb(router.process.pid)
        play = router.play(router.callers)
        await play.play(
            crowd(name, callers), lambda: _send_ordinary(router, outcome)
        )
        outcome.is_answered_after = (
            await router.ordinary_status() == HTTPStatus.OK
        )
        play.peak.sample()
        outcome.is_alive = router.is_alive
        outcome.peak_mb = play.peak.memory_mb
        outcome.peak_descriptors = play.peak.descriptors
        outcome.ended = sum(caller.is_ended for caller in play.callers)
        play.close()
    return outcome


async def _send_ordinary(router: CrowdedRouter, outcome: CrowdOutcome) -> None:
    while True:
        if await router.ordinary_status() == HTTPStatus.OK:
            outcome.served += 1
        else:
            outcome.refused += 1
        await asyncio.sleep(ORDINARY_PAUSE_S)
