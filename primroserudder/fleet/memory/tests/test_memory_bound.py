"""The bound holds for a real process; ``bin/memory-bound`` plays more."""

import pathlib

from ....testing import memorybound

SOURCE = pathlib.Path(__file__).parents[4]


async def test_process_keeps_its_bound_under_callers_that_read_nothing() -> (
    None
):
    load = memorybound.MemoryLoad(
        memory_mb=100,
        slow_callers=150,
        seconds=7,
        event_bytes=16_000,
        event_s=0.1,
    )
    outcome = await memorybound.measure(SOURCE, load)
    assert outcome.peak_mb <= load.memory_mb
    assert outcome.lost_connections == load.slow_callers
    assert not outcome.running_at_end
    assert outcome.served_share >= memorybound.SERVED_SHARE
