"""Tests when a VM takes its own links for lost, in virtual time."""

import asyncio
from dataclasses import dataclass, field

import pytest

from ....process.clock import LoopClock
from ....process.decisions import DecisionLog
from ....process.loops import cancel_on_exit
from ....testing.fleetdata import engine
from ...model import Engine
from ...retries import Ending
from ..reach import FAILURES_TO_PROBE, OWN_PROBES, EngineReach

pytestmark = pytest.mark.looptime

ENGINES = 40
PROBE_S = 0.15
DEAD_DOMAIN = 11
DOMAINS = 3
OWN_DOMAIN = 'fd-0'
SEEDS = range(20)


@dataclass(slots=True)
class FakeOrders:
    """Accepts connections to the engines that are reached."""

    reached: set[str] = field(default_factory=set)
    probes: int = 0
    held_up: int = 0

    async def accepts_connection(self, probed: Engine) -> bool:
        """Return at once if an engine is reached, or after a time."""
        self.probes += 1
        if self.probes <= self.held_up:
            await asyncio.sleep(PROBE_S)
            return False
        if probed.engine_id in self.reached:
            return True
        await asyncio.sleep(PROBE_S)
        return False


@dataclass(slots=True)
class FakeDirectory:
    """Lists engines by id."""

    engines_by_id: dict[str, Engine]


def _domain_of(number: int) -> str:
    place = number % DOMAINS
    return f'fd-{place}'


def _reach(dead: int = 0, seed: int = 1) -> tuple[EngineReach, FakeOrders]:
    listed = [
        engine(f'i-{number}', failure_domain=_domain_of(number))
        for number in range(ENGINES)
    ]
    engines = {each.engine_id: each for each in listed}
    orders = FakeOrders(set(tuple(engines)[dead:]))
    clock = LoopClock()
    reach = EngineReach(
        orders,  # type: ignore[arg-type]
        FakeDirectory(engines),  # type: ignore[arg-type]
        clock,
        DecisionLog('vm', clock),
        OWN_DOMAIN,
    )
    reach.rng.seed(seed)
    return reach, orders


def _fail(reach: EngineReach, count: int = FAILURES_TO_PROBE) -> None:
    for number in range(count):
        reach.note(f'i-{number}', Ending.NOT_SENT, reach.clock.monotonic())


async def test_vm_without_links_is_cut_off_until_engines_answer() -> None:
    reach, orders = _reach(dead=ENGINES)
    async with cancel_on_exit(asyncio.ensure_future(reach.run())):
        _fail(reach)
        await asyncio.sleep(3 * PROBE_S)
        assert reach.is_cut_off
        orders.reached.update(reach.directory.engines_by_id)
        await asyncio.sleep(1)
        assert not reach.is_cut_off and not reach.is_in_doubt


@pytest.mark.parametrize('seed', SEEDS)
async def test_vm_whose_failure_domain_is_cut_off_still_has_its_engines(
    seed: int,
) -> None:
    reach, orders = _reach(seed=seed)
    orders.reached = {
        engine_id
        for engine_id, listed in reach.directory.engines_by_id.items()
        if listed.failure_domain == OWN_DOMAIN
    }
    async with cancel_on_exit(asyncio.ensure_future(reach.run())):
        _fail(reach)
        await asyncio.sleep(3 * PROBE_S)
        assert not reach.is_cut_off and not reach.is_in_doubt


async def test_one_round_of_late_answers_is_no_loss_of_links() -> None:
    # As after a moment in which the process was held up.
    reach, orders = _reach()
    orders.held_up = OWN_PROBES + DOMAINS - 1
    async with cancel_on_exit(asyncio.ensure_future(reach.run())):
        _fail(reach)
        await asyncio.sleep(3 * PROBE_S)
        assert not reach.is_cut_off and not reach.is_in_doubt


async def test_one_failure_raises_no_doubt() -> None:
    reach, orders = _reach(dead=ENGINES)
    async with cancel_on_exit(asyncio.ensure_future(reach.run())):
        _fail(reach, 1)
        await asyncio.sleep(1)
    assert not orders.probes


async def test_dead_failure_domain_is_no_loss_of_links_and_costs_little() -> (
    None
):
    reach, orders = _reach(dead=DEAD_DOMAIN)
    async with cancel_on_exit(asyncio.ensure_future(reach.run())):
        for _ in range(100):
            _fail(reach, DEAD_DOMAIN)
            await asyncio.sleep(0.01)
            assert not reach.is_cut_off
    assert orders.probes <= 30


async def test_response_to_an_older_attempt_does_not_end_a_doubt() -> None:
    # It may have come over a connection from before the links were lost.
    reach, _ = _reach(dead=ENGINES)
    began_at = reach.clock.monotonic()
    async with cancel_on_exit(asyncio.ensure_future(reach.run())):
        await asyncio.sleep(0.1)
        _fail(reach, 1)
        reach.note('i-9', Ending.DELIVERED, began_at)
        reach.note('i-1', Ending.NOT_SENT, reach.clock.monotonic())
        await asyncio.sleep(3 * PROBE_S)
        assert reach.is_cut_off


async def test_response_to_a_later_attempt_ends_a_series_of_failures() -> None:
    reach, orders = _reach(dead=ENGINES)
    async with cancel_on_exit(asyncio.ensure_future(reach.run())):
        _fail(reach, 1)
        await asyncio.sleep(0.1)
        reach.note('i-9', Ending.DELIVERED, reach.clock.monotonic())
        reach.note('i-1', Ending.NOT_SENT, reach.clock.monotonic())
        await asyncio.sleep(1)
    assert not orders.probes
