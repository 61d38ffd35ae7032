"""Tests which attempts count as crashes of the engine that ran them."""

from dataclasses import dataclass, field

import pytest

from ....process.decisions import DecisionLog
from ....process.metrics import Metrics
from ....testing.fleetdata import ManualClock, call, engine, target
from ...attempt import AttemptResult
from ...directory import Directory
from ...model import Engine
from ...retries import Ending
from ..quarantine import Quarantine

LIST_EXPIRY_S = 5.0
RESET = AttemptResult(Ending.UNKNOWN, 'reset', may_have_crashed=True)
GROUP_LOST = AttemptResult(Ending.CUT, 'group is broken or unreachable')
TIMED_OUT = AttemptResult(Ending.UNKNOWN, 'TimeoutError')
REFUSED = AttemptResult(Ending.NOT_RUN, 'engine refused with 503')
FAILED = AttemptResult(Ending.FAILED, '500')
DELIVERED = AttemptResult(Ending.DELIVERED, '200')
ENGINE_IDS = 'abcd'


@dataclass(slots=True)
class _Site:
    """A quarantine with a list of engines that a test changes."""

    clock: ManualClock = field(default_factory=ManualClock)
    directory: Directory = field(
        default_factory=lambda: Directory(lambda *_: None)
    )
    unreachable: set[str] = field(default_factory=set)
    list_current_since: float | None = 0
    quarantine: Quarantine = field(init=False)

    def __post_init__(self) -> None:
        self.quarantine = Quarantine(
            self.clock,
            DecisionLog('vm', self.clock),
            Metrics(),
            self.directory,
            lambda: self.unreachable,
            lambda: self.list_current_since,
            LIST_EXPIRY_S,
            lambda: len(ENGINE_IDS),
            lambda: True,
        )
        for engine_id in ENGINE_IDS:
            self.list_engine(engine(engine_id))

    def list_engine(self, listed: Engine) -> None:
        self.directory.engines_by_id[listed.engine_id] = listed

    def run_on(self, engine_id: str, outcome: AttemptResult) -> None:
        self.quarantine.note_outcome(
            call(), target(engine_id, born_ms=1), outcome
        )

    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.quarantine.settle()

    def count(self) -> int:
        return self.quarantine.strikes.count(call().digest)


@pytest.mark.parametrize('outcome', [REFUSED, FAILED, DELIVERED])
async def test_answered_request_is_no_evidence_of_a_crash(
    outcome: AttemptResult,
) -> None:
    site = _Site()
    site.run_on('a', outcome)
    site.directory.engines_by_id.clear()
    site.wait(1)
    assert not site.count()


async def test_reset_connection_counts_at_once() -> None:
    site = _Site()
    for engine_id in 'abc':
        site.run_on(engine_id, RESET)
    assert site.quarantine.strikes.is_quarantined(call().digest)


async def test_strike_is_void_if_the_engine_is_still_listed_later() -> None:
    # The connection broke, but the engine lives: it spoils its responses.
    site = _Site()
    site.run_on('a', RESET)
    site.wait(LIST_EXPIRY_S / 2)
    assert site.count() == 1
    site.wait(LIST_EXPIRY_S / 2)
    assert not site.count()


@pytest.mark.parametrize('is_back', [True, False])
async def test_strike_of_an_engine_that_ended_stands(*, is_back: bool) -> None:
    site = _Site()
    site.run_on('a', RESET)
    site.directory.engines_by_id.pop('a')
    if is_back:
        site.list_engine(engine('a', born_ms=2))
    site.wait(2 * LIST_EXPIRY_S)
    assert site.count() == 1


async def test_strike_is_not_void_by_a_list_that_is_out_of_date() -> None:
    site = _Site()
    site.run_on('a', RESET)
    site.list_current_since = None
    site.wait(2 * LIST_EXPIRY_S)
    site.list_current_since = site.clock.now
    site.wait(LIST_EXPIRY_S / 2)
    assert site.count() == 1


@pytest.mark.parametrize('outcome', [GROUP_LOST, TIMED_OUT])
async def test_unanswered_request_counts_once_its_engine_has_ended(
    outcome: AttemptResult,
) -> None:
    site = _Site()
    site.run_on('a', outcome)
    site.wait(1)
    assert not site.count()
    site.directory.engines_by_id.pop('a')
    site.wait(1)
    assert site.count() == 1


async def test_unanswered_request_on_a_living_engine_never_counts() -> None:
    site = _Site()
    site.run_on('a', TIMED_OUT)
    site.wait(LIST_EXPIRY_S)
    site.directory.engines_by_id.pop('a')
    site.wait(1)
    assert not site.count()


async def test_unanswered_request_counts_if_its_engine_answers_no_probe() -> (
    None
):
    site = _Site()
    site.run_on('a', GROUP_LOST)
    site.unreachable.add('a')
    site.wait(1)
    assert site.count() == 1


async def test_engine_that_drains_and_leaves_did_not_crash() -> None:
    site = _Site()
    site.list_engine(engine('a', is_draining=True))
    site.quarantine.note_abandoned(call(), target('a', born_ms=1))
    site.directory.engines_by_id.pop('a')
    site.wait(1)
    assert not site.count()
