"""Holds up the event loop, as a busy machine holds up a process."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

import aiohttp

from ..fleet.router import Router


@contextmanager
def held_up_while_connecting(
    router: Router, times: int, seconds: float
) -> Iterator[list[float]]:
    """Hold the loop up after a router has begun to connect to a target.

    Explanation
    ===========
    Yields the times of the event loop at which connections were begun. The
    first ``times`` of them are held up, for so many ``seconds`` each.
    """
    connect = aiohttp.TCPConnector.connect
    held_up = router.server.runner.session.connector
    begun_at: list[float] = []

    async def connect_held_up(  # noqa: WPS430 (needs the real one)
        self: aiohttp.TCPConnector, *arguments: Any, **options: Any
    ) -> Any:
        if self is held_up:
            loop = asyncio.get_running_loop()
            begun_at.append(loop.time())
            if len(begun_at) <= times:
                loop.call_soon(time.sleep, seconds)
        return await connect(self, *arguments, **options)

    with patch.object(aiohttp.TCPConnector, 'connect', connect_held_up):
        yield begun_at
