"""Tests of the passage from "not sent" to "may have run"."""

import pytest

from ...errors import InvariantViolation, Ran, RudderError
from ...process.invariants import Invariants
from ...process.metrics import Metrics
from ..passage import Passage


def _passage() -> Passage:
    return Passage(Invariants(Metrics()), 'req-1')


def test_open_attempt_may_have_run() -> None:
    passage = _passage()
    passage.open(1)
    assert passage.close(RudderError('lost')).ran is Ran.UNKNOWN


def test_attempt_without_connection_did_not_run() -> None:
    passage = _passage()
    passage.open(1)
    passage.take_back(1)
    assert passage.close(RudderError('no connection')).ran is Ran.NO


def test_one_lost_attempt_outweighs_those_taken_back() -> None:
    passage = _passage()
    passage.open(1)
    passage.open(2)
    passage.take_back(2)
    assert passage.close(RudderError('lost')).ran is Ran.UNKNOWN


def test_refusal_by_the_upstream_counts_although_bytes_were_sent() -> None:
    passage = _passage()
    passage.open(1)
    passage.note_sent(1)
    passage.take_refusal(1)
    assert passage.close(RudderError('refused')).ran is Ran.NO


def test_sent_bytes_are_never_taken_back() -> None:
    passage = _passage()
    passage.open(1)
    passage.note_sent(1)
    with pytest.raises(InvariantViolation, match='no_byte_sent'):
        passage.take_back(1)
    assert passage.ran is Ran.UNKNOWN


def test_refused_request_never_runs_afterwards() -> None:
    passage = _passage()
    passage.close(RudderError('refused'))
    with pytest.raises(InvariantViolation, match='no_run_after_refusal'):
        passage.open(1)


def test_no_byte_leaves_outside_an_attempt() -> None:
    with pytest.raises(InvariantViolation, match='outside_an_attempt'):
        _passage().note_sent(1)
