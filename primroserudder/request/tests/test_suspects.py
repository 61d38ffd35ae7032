"""Tests of which contents are suspects and which are condemned."""

import asyncio

import pytest

from ...errors import Ran, RudderError
from ...process.clock import LoopClock
from ...testing import builders
from ...testing.disturbed import Disturbed
from ..fingerprint import fingerprint
from ..isolation import RequestQuarantined
from ..permits import PermitOutcome, PermitTable, SuspectRun
from ..suspects import (
    COMPLETED_LIFETIME_S,
    DARK_WINDOW_S,
    NEAR_TOKENS,
    QUARANTINE_S,
    Strike,
    SuspectRegistry,
)

pytestmark = pytest.mark.looptime
KILLER = 'deadly prompt'


class Bench:
    """A book and the groups that are lost."""

    def __init__(self) -> None:
        self.registry = SuspectRegistry(LoopClock())

    def lose(
        self,
        index: int,
        *prints: str,
        position: int = 0,
        is_isolated: bool = False,
        fabric: str = '',
    ) -> None:
        """Lose a group on which some contents run."""
        group = builders.group(index, fabric_domain=fabric or f'f{index}')
        loss = self.registry.note_loss(group)
        for running in prints:
            self.registry.strike(Strike(running, loss, position, is_isolated))

    def is_condemned(self, name: str) -> bool:
        """Return whether a content is refused."""
        return self.registry.quarantined_for_s(name) > 0


async def test_second_loss_in_isolation_condemns_for_a_time() -> None:
    bench = Bench()
    bench.lose(0, 'k', 'innocent')
    assert bench.registry.is_suspect('k')
    assert not bench.is_condemned('k')
    bench.lose(1, 'k', is_isolated=True)
    assert bench.is_condemned('k')
    assert not bench.is_condemned('innocent')
    await asyncio.sleep(QUARANTINE_S + 1)
    assert not bench.registry.is_suspect('k')
    bench.registry.expire()
    assert not bench.registry.strikes_by_key


async def test_third_loss_at_once_condemns_what_never_completed() -> None:
    bench = Bench()
    bench.registry.clear('popular', 0.1)
    await asyncio.sleep(1)
    for index in range(3):
        bench.lose(index, 'k', 'popular')
    assert bench.is_condemned('k')
    assert not bench.is_condemned('popular')
    await asyncio.sleep(COMPLETED_LIFETIME_S - 5)
    bench.lose(3, 'k', 'popular')


async def test_run_that_got_further_than_the_crash_is_not_condemned() -> None:
    bench = Bench()
    bench.lose(0, 'k', position=10)
    bench.lose(1, 'k', position=11 + NEAR_TOKENS, is_isolated=True)
    assert not bench.is_condemned('k')
    bench.lose(2, 'k', position=11, is_isolated=True)
    assert bench.is_condemned('k')


async def test_dark_fabric_domain_condemns_and_suspects_nobody() -> None:
    bench = Bench()
    for index in range(8):
        bench.lose(index, f'content {index}', 'popular', fabric='f0')
    assert not bench.registry.is_suspect('content 3')
    await asyncio.sleep(DARK_WINDOW_S + 1)
    bench.lose(9, 'content 3', is_isolated=True)
    assert not bench.is_condemned('content 3')


async def test_completion_clears_a_suspect() -> None:
    bench = Bench()
    await asyncio.sleep(1)
    bench.lose(0, 'innocent')
    await asyncio.sleep(1)
    assert bench.registry.clear('innocent', bench.registry.clock.monotonic())
    assert not bench.registry.is_suspect('innocent')
    bench.lose(1, 'innocent', is_isolated=True)
    assert not bench.is_condemned('innocent')


async def test_content_seen_complete_needs_two_losses_in_isolation() -> None:
    bench = Bench()
    bench.registry.clear('k', 0.1)
    await asyncio.sleep(1)
    bench.lose(0, 'k')
    bench.lose(1, 'k', is_isolated=True)
    assert not bench.is_condemned('k')
    bench.lose(2, 'k', is_isolated=True)
    assert bench.is_condemned('k')


async def test_permits_part_contents_and_replicas() -> None:
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
def test_fingerprint_follows_content(
    changes: dict[str, object],
    is_same: bool,
) -> None:
    first = builders.caller_request(body=b'{"prompt":"p","seed":1}')
    second = builders.caller_request(**{'body': first.body, **changes})
    assert (fingerprint(first) == fingerprint(second)) is is_same


def _crashes(bench: Disturbed) -> int:
    return sum(
        engine.starts - 1 for engine in bench.engines.by_address.values()
    )


def _is_crashed(bench: Disturbed, group_id: str) -> bool:
    group = bench.directory.by_id[group_id]
    leader = bench.engines.by_address[group.leader.address]
    return leader.order is None


async def _restore_all(bench: Disturbed) -> None:
    while bench.tasks:
        for group_id in tuple(bench.directory.by_id):
            if _is_crashed(bench, group_id):
                bench.restore(bench.directory.by_id[group_id])
        await asyncio.sleep(1)


@pytest.mark.parametrize('is_idempotent', [True, False])
@pytest.mark.parametrize('is_streamed', [True, False])
async def test_killing_request_costs_two_replicas_and_no_innocent(
    is_idempotent: bool,
    is_streamed: bool,
) -> None:
    async with Disturbed(groups=4) as bench:
        for engine in bench.engines.by_address.values():
            engine.faults.crash_on = KILLER
        repair = asyncio.create_task(_restore_all(bench))
        innocents = [
            asyncio.create_task(bench.ask(f'innocent {index}', 400))
            for index in range(12)
        ]
        for index in range(50):
            await asyncio.sleep(0.2)
            with pytest.raises(RudderError) as refused:
                await bench.ask(
                    KILLER,
                    request_id=f'req-k{index}',
                    is_idempotent=is_idempotent,
                    is_streamed=is_streamed,
                )
        assert isinstance(refused.value, RequestQuarantined)
        assert refused.value.ran is Ran.NO
        assert _crashes(bench) == 2
        answers = await asyncio.gather(*innocents)
        assert all(answer.endswith(b'[DONE]\n\n') for answer in answers)
        assert not bench.server.isolation.registry.is_suspect('innocent 1')
        repair.cancel()
