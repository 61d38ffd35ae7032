"""Each check reports violations and accepts correct behaviour."""

import signal
from collections.abc import Mapping
from dataclasses import replace

import pytest

from ...standins.groupengine import ATTEMPT_ID, SEAL, event
from ..callers import Ending, Exchange, RequestKind
from ..checks import (
    check_exchange,
    check_exits,
    check_requests,
    check_runs,
    check_stops,
    check_versions,
)
from ..processes import RouterExit

EVENTS = 3
COMPLETE_BODY = b''.join(map(event, range(1, EVENTS + 1)))
STREAM = Exchange(
    'r-1',
    RequestKind.STREAM,
    0,
    1.0,
    2.0,
    Ending.ANSWERED,
    200,
    {SEAL: 'seal', ATTEMPT_ID: 'r-1'},
    COMPLETE_BODY,
)
RECEIVED_IDS = frozenset(('r-1',))
STOPPED = RouterExit('vm-0', 0, 1, 0, (signal.SIGTERM,), 4.0, ended_at=2.0)


def test_complete_stream_passes() -> None:
    assert not list(check_exchange(STREAM, EVENTS))


@pytest.mark.parametrize(
    'wrong',
    [
        replace(STREAM, body=COMPLETE_BODY[:-20]),
        replace(STREAM, body=event(1) + event(3)),
        replace(STREAM, body=event(1) + COMPLETE_BODY),
        replace(STREAM, headers={SEAL: 'seal', ATTEMPT_ID: 'r-2'}),
        replace(STREAM, headers={ATTEMPT_ID: 'r-1'}),
        replace(STREAM, kind=RequestKind.ONCE_ONLY, body=b''),
        replace(STREAM, ending=Ending.LEFT, body=event(2)),
    ],
    ids=['short', 'gap', 'twice', 'other', 'unsealed', 'empty', 'left early'],
)
def test_wrong_answer_is_found(wrong: Exchange) -> None:
    assert list(check_exchange(wrong, EVENTS))


def test_cut_stream_may_be_a_prefix() -> None:
    cut = replace(
        STREAM, ending=Ending.CUT_WITHIN_ANSWER, body=COMPLETE_BODY[:30]
    )
    assert not list(check_exchange(cut, EVENTS))


@pytest.mark.parametrize('status', [429, 503, 408, 421])
def test_refusal_of_a_request_that_ran_is_found(status: int) -> None:
    refused = replace(STREAM, status=status)
    assert list(check_runs([refused], {'r-1': 1}))
    assert not list(check_runs([refused], {}))


def test_second_run_of_a_once_only_request_is_found() -> None:
    once = replace(STREAM, kind=RequestKind.ONCE_ONLY)
    assert list(check_runs([once], {'r-1': 2}))
    assert not list(check_runs([once], {'r-1': 1}))
    assert not list(check_runs([STREAM], {'r-1': 2}))


def test_answer_without_a_run_is_found() -> None:
    assert list(check_runs([STREAM], {}))


@pytest.mark.parametrize(
    'router_exit',
    [
        replace(STOPPED, code=1),
        replace(STOPPED, signals=()),
        replace(STOPPED, after_stop_s=20.0),
    ],
    ids=['failed', 'by itself', 'late'],
)
def test_exit_that_no_signal_explains_is_found(router_exit: RouterExit) -> None:
    assert list(check_exits([router_exit], grace_s=6))


@pytest.mark.parametrize(
    'router_exit',
    [
        STOPPED,
        replace(STOPPED, code=-9, signals=(signal.SIGKILL,)),
        replace(STOPPED, code=-15, has_started=False),
    ],
    ids=['stopped', 'killed', 'stopped before its start'],
)
def test_requested_exit_passes(router_exit: RouterExit) -> None:
    assert not list(check_exits([router_exit], grace_s=6))


def test_older_configuration_is_found() -> None:
    assert list(check_versions([1, 2, 1]))
    assert not list(check_versions([1, 1, 2]))


@pytest.mark.parametrize(
    'ending', [Ending.CUT_BEFORE_ANSWER, Ending.CUT_WITHIN_ANSWER]
)
def test_request_that_a_stop_cuts_early_is_found(ending: Ending) -> None:
    cut = replace(STREAM, ending=ending)
    assert list(check_stops([cut], [STOPPED], [], RECEIVED_IDS, grace_s=5))


def test_request_that_reached_no_engine_is_not_a_violation() -> None:
    cut = replace(STREAM, ending=Ending.CUT_BEFORE_ANSWER)
    assert not list(check_stops([cut], [STOPPED], [], frozenset(), grace_s=5))


@pytest.mark.parametrize(
    ('exchange', 'router_exit', 'link_faults'),
    [
        (STREAM, STOPPED, []),
        (STREAM, replace(STOPPED, after_stop_s=6.0), []),
        (STREAM, replace(STOPPED, signals=(signal.SIGKILL,)), []),
        (STREAM, replace(STOPPED, number=1), []),
        (STREAM, STOPPED, [(0, 1.5)]),
    ],
    ids=['whole', 'out of time', 'killed', 'other router', 'link struck'],
)
def test_request_that_no_stop_cut_passes(
    exchange: Exchange,
    router_exit: RouterExit,
    link_faults: list[tuple[int, float]],
) -> None:
    if router_exit is not STOPPED or link_faults:
        exchange = replace(exchange, ending=Ending.CUT_WITHIN_ANSWER)
    assert not list(
        check_stops(
            [exchange], [router_exit], link_faults, RECEIVED_IDS, grace_s=5
        )
    )


_REQUESTS = {'read': 3, 'under_way': 1, 'endings': {'answered': 1, 'gone': 1}}


def test_requests_with_one_ending_each_pass() -> None:
    assert not list(check_requests({'requests': _REQUESTS, 'violations': {}}))
    assert not list(check_requests({}))


@pytest.mark.parametrize(
    'state',
    [
        {'requests': {**_REQUESTS, 'read': 4}, 'violations': {}},
        {'requests': {**_REQUESTS, 'under_way': 0}, 'violations': {}},
        {'requests': _REQUESTS, 'violations': {'one_ending': 'request r-1'}},
    ],
    ids=['no ending', 'two endings', 'violation'],
)
def test_request_without_exactly_one_ending_is_found(
    state: Mapping[str, object],
) -> None:
    assert list(check_requests(state))
