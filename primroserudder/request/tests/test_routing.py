"""Tests of the routing policy that chooses a group."""

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
from ...testing.routingbench import ROUTER_POLICY, compare
from ...testing.routingload import MIXED, SHAPES, LoadShape
from ...version.document import Service
from ..caller import CallerRequest
from ..outliers import MIN_SAMPLES
from ..pinning import hash_fraction
from ..routing import NoGroupServes, Router
from ..scoring import read_prompt

MOVED_SHARE = 0.5
REQUESTS = 800
IDLE = EngineLoad(slots=8)
FULL = EngineLoad(running=8, slots=8)
PREFIX = ' '.join(f'w{number}' for number in range(512))


class RouterFixture:
    """Router with groups of one VM each and a stepped clock."""

    def __init__(self, *groups: GroupRecord, seed: int = 1) -> None:
        self.clock = SteppedClock()
        self.book = EvidenceBook(self.clock)
        self.directory = GroupDirectory()
        for record in groups:
            self.directory.update(record)
        self.router = Router(
            DOMAIN,
            self.directory,
            self.book,
            random.Random(seed),
            wanted_version=lambda deployment: 'v2',
        )
        self.report_load(IDLE)

    def report_load(self, load: EngineLoad, only_group: str = '') -> None:
        for record in self.directory.by_id.values():
            if only_group in {'', record.group_id}:
                status = replace(confirmed(record), load=load)
                self.book.note(status, self.clock.now)

    def send_request(self, request: CallerRequest, group_id: str) -> None:
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
def test_policy_is_no_worse_than_baselines(shape: LoadShape) -> None:
    figures_by_policy = compare(shape, REQUESTS, seed=5)
    ours = figures_by_policy[ROUTER_POLICY]
    baselines = [
        figures
        for name, figures in figures_by_policy.items()
        if name != ROUTER_POLICY
    ]
    best_p95 = min(figures.p95_s for figures in baselines)
    share = 0.75 if shape is MIXED else 1
    assert ours.p95_s <= share * best_p95
    assert ours.hit_rate >= max(figures.hit_rate for figures in baselines)


def test_group_changed_since_pools_were_cached_gets_no_request() -> None:
    first, second = groups(2)
    fixture = RouterFixture(first, second)
    assert {fixture.choose() for _ in range(8)} == {'g0', 'g1'}
    fixture.directory.update(replace(first, state=GroupState.DRAINING))
    fixture.directory.update(replace(second, generation=2))
    with pytest.raises(NoGroupServes):
        fixture.choose()


def test_rebuilt_group_is_chosen_in_its_new_generation_only() -> None:
    old = group(0, 1)
    fixture = RouterFixture(old)
    fixture.choose()
    fixture.directory.update(replace(old, generation=2))
    fixture.report_load(IDLE)
    assert fixture.router.choose(caller_request()).generation == 2


def test_evidence_expired_since_pools_were_cached_stops_dispatch() -> None:
    fixture = RouterFixture(*groups(2))
    fixture.choose()
    fixture.clock.now = 30
    with pytest.raises(NoGroupServes):
        fixture.choose()


def test_own_requests_correct_an_old_load_report() -> None:
    fixture = RouterFixture(*groups(2))
    request = caller_request(prompt=PREFIX)
    first, second = (fixture.directory.by_id[name] for name in ('g0', 'g1'))
    with fixture.router.dispatched(request, first):
        assert fixture.choose(prompt='other') == 'g1'
    with fixture.router.dispatched(request, second):
        assert fixture.choose(prompt='other') == 'g0'


def test_group_with_cached_prefix_is_chosen_until_full() -> None:
    fixture = RouterFixture(*groups(4))
    request = caller_request(prompt=PREFIX)
    fixture.send_request(request, 'g2')
    assert {fixture.choose(prompt=f'{PREFIX} {word}') for word in 'abcd'} == {
        'g2'
    }
    fixture.clock.now = 1
    fixture.report_load(
        EngineLoad(running=8, waiting=8, slots=8), only_group='g2'
    )
    assert fixture.choose(prompt=f'{PREFIX} y') != 'g2'


def test_new_generation_starts_without_cached_prefixes() -> None:
    fixture = RouterFixture(*groups(2))
    request = caller_request(prompt=PREFIX)
    old_generation = fixture.directory.by_id['g0']
    fixture.send_request(request, 'g0')
    scorer = fixture.router.scorer
    prompt = read_prompt(request)
    assert scorer.uncached_words(old_generation, prompt) == 0
    scorer.load(replace(old_generation, generation=2))
    assert scorer.uncached_words(old_generation, prompt) == prompt.words


def test_spill_over_has_hysteresis() -> None:
    own = groups(2)
    far = [replace(group(index, 1), failure_domain='fd-2') for index in (2, 3)]
    fixture = RouterFixture(*own, *far)
    assert fixture.choose() in {'g0', 'g1'}
    chosen = []
    for step, running in enumerate((8, 7, 5), start=1):
        fixture.clock.now = step
        fixture.report_load(IDLE)
        busy = EngineLoad(running=running, waiting=running // 8, slots=8)
        for record in own:
            fixture.report_load(busy, only_group=record.group_id)
        fixture.choose()
        chosen.append(DEPLOYMENT in fixture.router.ranker.spill.spilling)
    assert chosen == [True, True, False]
    assert (
        fixture.router.metrics.value('spill_overs', deployment=DEPLOYMENT) == 1
    )


def test_other_failure_domain_serves_if_local_one_has_no_group() -> None:
    far = replace(group(1, 1), failure_domain='fd-2')
    assert RouterFixture(far).choose() == 'g1'


def test_slow_groups_are_ejected_up_to_a_share_and_tried_again() -> None:
    fixture = RouterFixture(*groups(10))
    outliers = fixture.router.scorer.outliers
    paces = [(f'g{place}', 0.1 if place < 4 else 0.01) for place in range(10)]
    for _ in range(MIN_SAMPLES + 1):
        fixture.note_paces(paces)
        fixture.clock.now += 0.6
    now = fixture.clock.now
    ejected = {
        group_id for group_id, _ in paces if outliers.is_ejected(group_id, now)
    }
    assert len(ejected) == 2
    fixture.clock.now += 6
    probed = min(ejected)
    assert not outliers.is_ejected(probed, fixture.clock.now)
    outliers.note(probed, 0.1, fixture.clock.now)
    assert outliers.is_ejected(probed, fixture.clock.now + 9)
    assert not outliers.is_ejected(probed, fixture.clock.now + 11)


def test_no_group_is_ejected_if_whole_fleet_is_slow() -> None:
    fixture = RouterFixture(*groups(10))
    outliers = fixture.router.scorer.outliers
    for step in range(10):
        for index in range(10):
            pace = 0.01 if step < 4 else 0.2
            outliers.note(f'g{index}', pace, step)
        fixture.clock.now = step
    assert not any(
        map(outliers.is_ejected, outliers.pace_by_group, itertools.repeat(10))
    )


def test_repeats_get_the_same_version_from_all_entries() -> None:
    old = groups(6, model_version='v1')
    new = [
        replace(old_group, model_version='v2', generation=2)
        for old_group in old
    ]
    prompts = [bytes(number) for number in range(60)]
    before: dict[bytes, str] = {}
    for moved in range(7):
        current = (*new[:moved], *old[moved:])
        first, second = (RouterFixture(*current, seed=seed) for seed in (1, 2))
        for body in prompts:
            answers = {
                fixture.directory.by_id[fixture.choose(body=body)].model_version
                for fixture in (first, second)
                for _ in range(2)
            }
            assert len(answers) == 1
            answer = answers.pop()
            # A repeat moves to the new version once and never moves back.
            assert (before.get(body), answer) != ('v2', 'v1')
            before[body] = answer
    assert set(before.values()) == {'v2'}


def test_lost_groups_do_not_move_repeats_back_to_old_version() -> None:
    old = groups(4, model_version='v1')
    fixture = RouterFixture(
        *old[:2],
        *(replace(old_group, model_version='v2') for old_group in old[2:]),
    )
    moved = [
        body
        for body in map(bytes, range(40))
        if hash_fraction(caller_request(body=body)) <= MOVED_SHARE
    ]
    for body in moved:
        assert fixture.choose(body=body) in {'g2', 'g3'}
    fixture.directory.update(replace(old[3], state=GroupState.DRAINING))
    fixture.clock.now = 1
    fixture.report_load(IDLE)
    for body in moved:
        assert fixture.choose(body=body) == 'g2'


def test_started_response_keeps_its_model_version() -> None:
    old, new = groups(2, model_version='v1')
    fixture = RouterFixture(old, replace(new, model_version='v2'))
    request = caller_request()
    for version, wanted in (('v1', 'g0'), ('v2', 'g1')):
        chosen = fixture.router.choose(request, {wanted}, version)
        assert chosen.group_id == wanted
    with pytest.raises(NoGroupServes):
        fixture.router.choose(request, (), 'v3')


def test_group_without_adapter_gets_no_request_for_it() -> None:
    without_adapter, with_adapter = groups(2)
    fixture = RouterFixture(
        without_adapter, replace(with_adapter, adapters=('grades',))
    )
    service = Service(deployment=DEPLOYMENT, adapter='grades')
    assert {fixture.choose(service=service) for _ in range(8)} == {'g1'}
