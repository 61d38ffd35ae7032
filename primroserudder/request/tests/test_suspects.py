"""Tests of which contents are suspects and which are quarantined."""

import asyncio

import pytest

from ...errors import Ran, RudderError
from ...process.clock import LoopClock
from ...testing import builders
from ...testing.serverharness import ServerHarness
from ..fingerprint import fingerprint
from ..isolation import RequestQuarantined
from ..permits import PermitOutcome, PermitTable, SuspectRun
from ..suspects import (
    DOMAIN_OUTAGE_WINDOW_S,
    KNOWN_GOOD_LIFETIME_S,
    QUARANTINE_S,
    SAME_CRASH_TOKENS,
    Strike,
    SuspectRegistry,
)

pytestmark = pytest.mark.looptime
CRASHING_PROMPT = 'deadly prompt'


class Bench:
    """A registry to which losses of groups are added."""

    def __init__(self) -> None:
        self.registry = SuspectRegistry(LoopClock())

    def lose(
        self,
        index: int,
        *fingerprints: str,
        position: int = 0,
        is_isolated: bool = False,
        fabric: str = '',
    ) -> None:
        """Record the loss of a group on which the given contents run."""
        group = builders.group(index, fabric_domain=fabric or f'f{index}')
        loss = self.registry.note_loss(group)
        for fingerprint_of_run in fingerprints:
            self.registry.strike(
                Strike(fingerprint_of_run, loss, position, is_isolated),
            )

    def is_quarantined(self, name: str) -> bool:
        """Return whether a content is in quarantine."""
        return self.registry.quarantined_for_s(name) > 0


async def test_second_loss_in_isolation_quarantines_for_a_time() -> None:
    bench = Bench()
    bench.lose(0, 'k', 'innocent')
    assert bench.registry.is_suspect('k')
    assert not bench.is_quarantined('k')
    bench.lose(1, 'k', is_isolated=True)
    assert bench.is_quarantined('k')
    assert not bench.is_quarantined('innocent')
    await asyncio.sleep(QUARANTINE_S + 1)
    assert not bench.registry.is_suspect('k')
    bench.registry.expire()
    assert not bench.registry.strikes_by_key


async def test_third_loss_quarantines_content_that_never_completed() -> None:
    bench = Bench()
    bench.registry.clear('popular', 0.1)
    await asyncio.sleep(1)
    for index in range(3):
        bench.lose(index, 'k', 'popular')
    assert bench.is_quarantined('k')
    assert not bench.is_quarantined('popular')
    await asyncio.sleep(KNOWN_GOOD_LIFETIME_S - 5)
    bench.lose(3, 'k', 'popular')


async def test_run_past_the_crash_position_is_not_quarantined() -> None:
    bench = Bench()
    bench.lose(0, 'k', position=10)
    bench.lose(1, 'k', position=11 + SAME_CRASH_TOKENS, is_isolated=True)
    assert not bench.is_quarantined('k')
    bench.lose(2, 'k', position=11, is_isolated=True)
    assert bench.is_quarantined('k')


async def test_fabric_domain_outage_makes_no_content_a_suspect() -> None:
    bench = Bench()
    for index in range(8):
        bench.lose(index, f'content {index}', 'popular', fabric='f0')
    assert not bench.registry.is_suspect('content 3')
    await asyncio.sleep(DOMAIN_OUTAGE_WINDOW_S + 1)
    bench.lose(9, 'content 3', is_isolated=True)
    assert not bench.is_quarantined('content 3')


async def test_completion_clears_a_suspect() -> None:
    bench = Bench()
    await asyncio.sleep(1)
    bench.lose(0, 'innocent')
    await asyncio.sleep(1)
    assert bench.registry.clear('innocent', bench.registry.clock.monotonic())
    assert not bench.registry.is_suspect('innocent')
    bench.lose(1, 'innocent', is_isolated=True)
    assert not bench.is_quarantined('innocent')


async def test_content_seen_complete_needs_two_losses_in_isolation() -> None:
    bench = Bench()
    bench.registry.clear('k', 0.1)
    await asyncio.sleep(1)
    bench.lose(0, 'k')
    bench.lose(1, 'k', is_isolated=True)
    assert not bench.is_quarantined('k')
    bench.lose(2, 'k', is_isolated=True)
    assert bench.is_quarantined('k')


async def test_permit_is_exclusive_per_content_and_per_replica() -> None:
    table = PermitTable(LoopClock())
    wish = SuspectRun('a', 'g0', 'r1')
    assert table.request(wish) is PermitOutcome.GRANTED
    assert table.request(wish) is PermitOutcome.GRANTED
    same_content = SuspectRun('a', 'g1', 'r2')
    assert table.request(same_content) is PermitOutcome.REQUEST_RUNS
    same_group = SuspectRun('b', 'g0', 'r3')
    assert table.request(same_group) is PermitOutcome.GROUP_TAKEN
    table.release(wish)
    assert table.request(same_group) is PermitOutcome.GRANTED
    await asyncio.sleep(10)
    assert table.request(wish) is PermitOutcome.GRANTED


@pytest.mark.parametrize(
    ('changes', 'is_same'),
    [
        ({'request_id': 'req-2'}, True),
        ({'workspace': 'yard-south'}, True),
        ({'body': b'{"user":"u9","seed":7,"prompt":"p","stream":false}'}, True),
        ({'body': b'{"prompt":"q"}'}, False),
        ({'body': b'{"prompt":"p","temperature":1}'}, False),
    ],
)
def test_fingerprint_depends_on_content_only(
    changes: dict[str, object],
    is_same: bool,
) -> None:
    first = builders.caller_request(body=b'{"prompt":"p","seed":1}')
    second = builders.caller_request(**{'body': first.body, **changes})
    assert (fingerprint(first) == fingerprint(second)) is is_same


def _count_crashes(bench: ServerHarness) -> int:
    return sum(
        engine.starts - 1 for engine in bench.engines.by_address.values()
    )


def _is_crashed(bench: ServerHarness, group_id: str) -> bool:
    group = bench.directory.by_id[group_id]
    leader = bench.engines.by_address[group.leader.address]
    return leader.order is None


async def _restore_all(bench: ServerHarness) -> None:
    while bench.tasks:
        for group_id in tuple(bench.directory.by_id):
            if _is_crashed(bench, group_id):
                bench.restore(bench.directory.by_id[group_id])
        await asyncio.sleep(1)


@pytest.mark.parametrize('is_idempotent', [True, False])
@pytest.mark.parametrize('is_streamed', [True, False])
async def test_crashing_request_costs_two_replicas_and_no_other_answer(
    is_idempotent: bool,
    is_streamed: bool,
) -> None:
    async with ServerHarness(groups=4) as bench:
        for engine in bench.engines.by_address.values():
            engine.faults.crash_on = CRASHING_PROMPT
        repair = asyncio.create_task(_restore_all(bench))
        unrelated = [
            asyncio.create_task(bench.ask(f'innocent {index}', 400))
            for index in range(12)
        ]
        for index in range(50):
            await asyncio.sleep(0.2)
            with pytest.raises(RudderError) as refused:
                await bench.ask(
                    CRASHING_PROMPT,
                    request_id=f'req-k{index}',
                    is_idempotent=is_idempotent,
                    is_streamed=is_streamed,
                )
        assert isinstance(refused.value, RequestQuarantined)
        assert refused.value.ran is Ran.NO
        assert _count_crashes(bench) == 2
        answers = await asyncio.gather(*unrelated)
        assert all(answer.endswith(b'[DONE]\n\n') for answer in answers)
        assert not bench.server.isolation.registry.is_suspect('innocent 1')
        repair.cancel()
