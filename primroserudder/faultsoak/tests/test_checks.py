"""Each check finds what it is there for, and lets the right pass."""

import signal
from dataclasses import replace

import pytest

from ...standins.groupengine import ATTEMPT_ID, SEAL, event
from ..callers import Ending, RequestSort, Told
from ..checks import (
    check_exits,
    check_runs,
    check_stops,
    check_told,
    check_versions,
)
from ..processes import Exit

EVENTS = 3
WHOLE = b''.join(map(event, range(1, EVENTS + 1)))
STREAM = Told(
    'r-1',
    RequestSort.STREAM,
    0,
    1.0,
    2.0,
    Ending.ANSWERED,
    200,
    {SEAL: 'seal', ATTEMPT_ID: 'r-1'},
    WHOLE,
)
RAN = frozenset(('r-1',))
STOPPED = Exit('vm-0', 0, 1, 0, (signal.SIGTERM,), 4.0, at=2.0)


def test_whole_stream_passes() -> None:
    assert not list(check_told(STREAM, EVENTS))


@pytest.mark.parametrize(
    'wrong',
    [
        replace(STREAM, body=WHOLE[:-20]),
        replace(STREAM, body=event(1) + event(3)),
        replace(STREAM, body=event(1) + WHOLE),
        replace(STREAM, headers={SEAL: 'seal', ATTEMPT_ID: 'r-2'}),
        replace(STREAM, headers={ATTEMPT_ID: 'r-1'}),
        replace(STREAM, sort=RequestSort.ONCE_ONLY, body=b''),
        replace(STREAM, ending=Ending.LEFT, body=event(2)),
    ],
    ids=['short', 'gap', 'twice', 'other', 'unsealed', 'empty', 'left early'],
)
def test_wrong_answer_is_found(wrong: Told) -> None:
    assert list(check_told(wrong, EVENTS))


def test_stream_that_was_cut_is_a_beginning() -> None:
    cut = replace(STREAM, ending=Ending.CUT_WITHIN_ANSWER, body=WHOLE[:30])
    assert not list(check_told(cut, EVENTS))


@pytest.mark.parametrize('status', [429, 503, 408, 421])
def test_refusal_of_a_request_that_ran_is_found(status: int) -> None:
    refused = replace(STREAM, status=status)
    assert list(check_runs([refused], {'r-1': 1}))
    assert not list(check_runs([refused], {}))


def test_second_run_of_a_request_that_may_run_once_is_found() -> None:
    once = replace(STREAM, sort=RequestSort.ONCE_ONLY)
    assert list(check_runs([once], {'r-1': 2}))
    assert not list(check_runs([once], {'r-1': 1}))
    assert not list(check_runs([STREAM], {'r-1': 2}))


def test_answer_that_no_engine_gave_is_found() -> None:
    assert list(check_runs([STREAM], {}))


@pytest.mark.parametrize(
    'end',
    [
        replace(STOPPED, code=1),
        replace(STOPPED, signals=()),
        replace(STOPPED, stopped_for_s=20.0),
    ],
    ids=['failed', 'by itself', 'late'],
)
def test_end_that_no_signal_explains_is_found(end: Exit) -> None:
    assert list(check_exits([end], grace_s=6))


@pytest.mark.parametrize(
    'end',
    [
        STOPPED,
        replace(STOPPED, code=-9, signals=(signal.SIGKILL,)),
        replace(STOPPED, code=-15, has_started=False),
    ],
    ids=['stopped', 'killed', 'stopped before its start'],
)
def test_end_that_was_asked_for_passes(end: Exit) -> None:
    assert not list(check_exits([end], grace_s=6))


def test_older_configuration_is_found() -> None:
    assert list(check_versions([1, 2, 1]))
    assert not list(check_versions([1, 1, 2]))


@pytest.mark.parametrize(
    'ending', [Ending.CUT_BEFORE_ANSWER, Ending.CUT_WITHIN_ANSWER]
)
def test_request_that_a_stop_cuts_early_is_found(ending: Ending) -> None:
    cut = replace(STREAM, ending=ending)
    assert list(check_stops([cut], [STOPPED], [], RAN, grace_s=5))


def test_request_that_was_still_on_its_way_is_nobodys_loss() -> None:
    cut = replace(STREAM, ending=Ending.CUT_BEFORE_ANSWER)
    assert not list(check_stops([cut], [STOPPED], [], frozenset(), grace_s=5))


@pytest.mark.parametrize(
    ('told', 'end', 'cuts'),
    [
        (STREAM, STOPPED, []),
        (STREAM, replace(STOPPED, stopped_for_s=6.0), []),
        (STREAM, replace(STOPPED, signals=(signal.SIGKILL,)), []),
        (STREAM, replace(STOPPED, number=1), []),
        (STREAM, STOPPED, [(0, 1.5)]),
    ],
    ids=['whole', 'out of time', 'killed', 'other router', 'link struck'],
)
def test_request_that_no_stop_cut_passes(
    told: Told, end: Exit, cuts: list[tuple[int, float]]
) -> None:
    if end is not STOPPED or cuts:
        told = replace(told, ending=Ending.CUT_WITHIN_ANSWER)
    assert not list(check_stops([told], [end], cuts, RAN, grace_s=5))
