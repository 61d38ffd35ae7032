"""Builds what connections hold, without a connection."""

import asyncio
from unittest.mock import Mock

from aiohttp import StreamReader

from ..intake.bodies import BodyUnderWay
from ..intake.budget import Holding, MemoryBudget


def body_reader() -> StreamReader:
    """Return the reader of a body of which nothing has arrived."""
    loop = asyncio.get_running_loop()
    return StreamReader(Mock(), 2**16, loop=loop)


def body_under_way(
    paced_at: float = 0, budget: MemoryBudget | None = None
) -> BodyUnderWay:
    """Return a body of which nothing has arrived."""
    holding = Holding() if budget is None else Holding(budget)
    return BodyUnderWay(body_reader(), holding, paced_at)
