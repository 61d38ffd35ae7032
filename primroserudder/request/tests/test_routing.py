"""Tests of the choice of a group."""

import itertools
import random
from collections.abc import Iterable
from dataclasses import replace

import pytest

from ...process.engines import EngineLoad
from ...process.evidence import EvidenceBook
from ...process.groups import GroupDirectory, GroupRecord, GroupState
from ...testing.builders import (
    DEPLOYMENT,
    DOMAIN,
    caller_request,
    confirmed,
    group,
)
from ...testing.decisionbench import SteppedClock
from ...testing.routingbench import OURS, compare
from ...testing.routingload import MIXED, SHAPES, LoadShape
from ...version.document import Service
from ..caller import CallerRequest
from ..outliers import MIN_SAMPLES
from ..pinning import hash_fraction
from ..routing import NoGroupServes, Router
from ..scoring import read_prompt

SHARE = 0.5
REQUESTS = 800
IDLE = EngineLoad(slots=8)
FULL = EngineLoad(running=8, slots=8)
PREFIX = ' '.join(f'w{number}' for number in range(512))


class Bench:
    """A router before groups of one VM each."""

    def __init__(self, *groups: GroupRecord, seed: int = 1) -> None:
        self.clock = SteppedClock()
        self.book = EvidenceBook(self.clock)
        self.directory = GroupDirectory()
        for each in groups:
            self.directory.update(each)
        self.router = Router(
            DOMAIN,
            self.directory,
            self.book,
            random.Random(seed),
            wanted_version=lambda deployment: 'v2',
        )
        self.see(IDLE)

    def see(self, load: EngineLoad, only: str = '') -> None:
        for each in self.directory.by_id.values():
            if only in {'', each.group_id}:
                status = replace(confirmed(each), load=load)
                self.book.note(status, self.clock.now)

    def send(self, request: CallerRequest, group_id: str) -> None:
        chosen = self.directory.by_id[group_id]
        with self.router.dispatched(request, chosen) as flight:
            flight.note_answer({})

    def note_paces(self, paces: Iterable[tuple[str, float]]) -> None:
        for group_id, pace in paces:
            self.router.scorer.outliers.note(group_id, pace, self.clock.now)

    def choose(self, **changes: object) -> str:
        return self.router.choose(caller_request(**changes)).group_id


def groups(count: int, **changes: object) -> list[GroupRecord]:
    return [group(index, 1, **changes) for index in range(count)]


@pytest.mark.parametrize('shape', SHAPES, ids=lambda shape: shape.name)
def test_policy_is_no_worse_than_plain_ones(shape: LoadShape) -> None:
    found = compare(shape, REQUESTS, seed=5)
    ours = found[OURS]
    plain = [figures for name, figures in found.items() if name != OURS]
    best_p95 = min(figures.p95_s for figures in plain)
    share = 0.75 if shape is MIXED else 1
    assert ours.p95_s <= share * best_p95
    assert ours.hit_rate >= max(figures.hit_rate for figures in plain)


def test_group_that_changed_since_the_last_look_takes_nothing() -> None:
    first, second = groups(2)
    bench = Bench(first, second)
    assert {bench.choose() for _ in range(8)} == {'g0', 'g1'}
    bench.directory.update(replace(first, state=GroupState.DRAINING))
    bench.directory.update(replace(second, generation=2))
    with pytest.raises(NoGroupServes):
        bench.choose()


def test_rebuilt_group_is_taken_by_its_new_generation_alone() -> None:
    old = group(0, 1)
    bench = Bench(old)
    bench.choose()
    bench.directory.update(replace(old, generation=2))
    bench.see(IDLE)
    assert bench.router.choose(caller_request()).generation == 2


def test_evidence_that_aged_since_the_last_look_stops_dispatch() -> None:
    bench = Bench(*groups(2))
    bench.choose()
    bench.clock.now = 30
    with pytest.raises(NoGroupServes):
        bench.choose()


def test_own_dispatches_correct_an_old_report() -> None:
    bench = Bench(*groups(2))
    request = caller_request(prompt=PREFIX)
    first, second = (bench.directory.by_id[name] for name in ('g0', 'g1'))
    with bench.router.dispatched(request, first):
        assert bench.choose(prompt='other') == 'g1'
    with bench.router.dispatched(request, second):
        assert bench.choose(prompt='other') == 'g0'


def test_prefix_decides_until_its_group_is_full() -> None:
    bench = Bench(*groups(4))
    request = caller_request(prompt=PREFIX)
    bench.send(request, 'g2')
    assert {bench.choose(prompt=f'{PREFIX} {word}') for word in 'abcd'} == {
        'g2'
    }
    bench.clock.now = 1
    bench.see(EngineLoad(running=8, waiting=8, slots=8), only='g2')
    assert bench.choose(prompt=f'{PREFIX} y') != 'g2'


def test_new_generation_forgets_prefixes() -> None:
    bench = Bench(*groups(2))
    request = caller_request(prompt=PREFIX)
    held = bench.directory.by_id['g0']
    bench.send(request, 'g0')
    scorer = bench.router.scorer
    prompt = read_prompt(request)
    assert scorer.uncached_words(held, prompt) == 0
    scorer.load(replace(held, generation=2))
    assert scorer.uncached_words(held, prompt) == prompt.words


def test_spill_over_has_hysteresis() -> None:
    own = groups(2)
    far = [replace(group(index, 1), failure_domain='fd-2') for index in (2, 3)]
    bench = Bench(*own, *far)
    assert bench.choose() in {'g0', 'g1'}
    chosen = []
    for step, running in enumerate((8, 7, 5), start=1):
        bench.clock.now = step
        bench.see(IDLE)
        busy = EngineLoad(running=running, waiting=running // 8, slots=8)
        for each in own:
            bench.see(busy, only=each.group_id)
        bench.choose()
        chosen.append(DEPLOYMENT in bench.router.ranker.spill.spilling)
    assert chosen == [True, True, False]
    assert bench.router.metrics.value('spill_overs', deployment=DEPLOYMENT) == 1


def test_other_failure_domain_serves_when_the_own_has_no_group() -> None:
    far = replace(group(1, 1), failure_domain='fd-2')
    assert Bench(far).choose() == 'g1'


def test_stragglers_are_ejected_up_to_a_share_and_probed_again() -> None:
    bench = Bench(*groups(10))
    outliers = bench.router.scorer.outliers
    paces = [(f'g{place}', 0.1 if place < 4 else 0.01) for place in range(10)]
    for _ in range(MIN_SAMPLES + 1):
        bench.note_paces(paces)
        bench.clock.now += 0.6
    now = bench.clock.now
    ejected = {
        group_id for group_id, _ in paces if outliers.is_ejected(group_id, now)
    }
    assert len(ejected) == 2
    bench.clock.now += 6
    probed = min(ejected)
    assert not outliers.is_ejected(probed, bench.clock.now)
    outliers.note(probed, 0.1, bench.clock.now)
    assert outliers.is_ejected(probed, bench.clock.now + 9)
    assert not outliers.is_ejected(probed, bench.clock.now + 11)


def test_fleet_that_is_slow_as_a_whole_ejects_nobody() -> None:
    bench = Bench(*groups(10))
    outliers = bench.router.scorer.outliers
    for step in range(10):
        for index in range(10):
            pace = 0.01 if step < 4 else 0.2
            outliers.note(f'g{index}', pace, step)
        bench.clock.now = step
    assert not any(
        map(outliers.is_ejected, outliers.pace_by_group, itertools.repeat(10))
    )


def test_repeats_keep_their_version_on_all_entries() -> None:
    old = groups(6, model_version='v1')
    new = [replace(one, model_version='v2', generation=2) for one in old]
    prompts = [bytes(number) for number in range(60)]
    before: dict[bytes, str] = {}
    for moved in range(7):
        current = (*new[:moved], *old[moved:])
        first, second = (Bench(*current, seed=seed) for seed in (1, 2))
        for body in prompts:
            answers = {
                bench.directory.by_id[bench.choose(body=body)].model_version
                for bench in (first, second)
                for _ in range(2)
            }
            assert len(answers) == 1
            answer = answers.pop()
            # A repeat moves to the new version once and never back.
            assert (before.get(body), answer) != ('v2', 'v1')
            before[body] = answer
    assert set(before.values()) == {'v2'}


def test_flapping_groups_do_not_move_repeats_back() -> None:
    old = groups(4, model_version='v1')
    bench = Bench(
        *old[:2],
        *(replace(one, model_version='v2') for one in old[2:]),
    )
    moved = [
        body
        for body in map(bytes, range(40))
        if hash_fraction(caller_request(body=body)) <= SHARE
    ]
    for body in moved:
        assert bench.choose(body=body) in {'g2', 'g3'}
    bench.directory.update(replace(old[3], state=GroupState.DRAINING))
    bench.clock.now = 1
    bench.see(IDLE)
    for body in moved:
        assert bench.choose(body=body) == 'g2'


def test_answer_that_has_begun_stays_with_its_version() -> None:
    old, new = groups(2, model_version='v1')
    bench = Bench(old, replace(new, model_version='v2'))
    request = caller_request()
    for version, wanted in (('v1', 'g0'), ('v2', 'g1')):
        chosen = bench.router.choose(request, {wanted}, version)
        assert chosen.group_id == wanted
    with pytest.raises(NoGroupServes):
        bench.router.choose(request, (), 'v3')


def test_group_without_the_adapter_takes_no_request_for_it() -> None:
    plain, fitting = groups(2)
    bench = Bench(plain, replace(fitting, adapters=('grades',)))
    service = Service(deployment=DEPLOYMENT, adapter='grades')
    assert {bench.choose(service=service) for _ in range(8)} == {'g1'}
