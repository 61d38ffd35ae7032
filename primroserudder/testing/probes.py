"""Probes of every VM by one process, for benchmarks of one entry."""

import asyncio
from collections.abc import Iterable

from ..errors import RudderError
from ..process.engines import EngineClient
from ..process.evidence import EvidenceBook
from ..process.groups import Member

PROBE_INTERVAL_S = 1


async def probe_all(
    engines: EngineClient,
    book: EvidenceBook,
    members: Iterable[Member],
) -> None:
    """Probe all members concurrently."""
    await asyncio.gather(
        *(_probe(engines, book, member) for member in members),
    )


async def _probe(
    engines: EngineClient,
    book: EvidenceBook,
    member: Member,
) -> None:
    asked_at = book.clock.monotonic()
    try:
        status = await engines.status(member.address)
    except RudderError:
        return
    book.note(status, asked_at)
