"""Tests of the record of whether a request may have run."""

import pytest

from ...errors import InvariantViolation, Ran, RudderError
from ...process.invariants import Invariants
from ...process.metrics import Metrics
from ..dispatch import DispatchRecord


def _dispatch() -> DispatchRecord:
    return DispatchRecord(Invariants(Metrics()), 'req-1')


def test_open_attempt_may_have_run() -> None:
    dispatch = _dispatch()
    dispatch.open(1)
    assert dispatch.close(RudderError('lost')).ran is Ran.UNKNOWN


def test_attempt_without_connection_did_not_run() -> None:
    dispatch = _dispatch()
    dispatch.open(1)
    dispatch.note_not_run(1)
    assert dispatch.close(RudderError('no connection')).ran is Ran.NO


def test_one_lost_attempt_outweighs_one_that_did_not_run() -> None:
    dispatch = _dispatch()
    dispatch.open(1)
    dispatch.open(2)
    dispatch.note_not_run(2)
    assert dispatch.close(RudderError('lost')).ran is Ran.UNKNOWN


def test_upstream_refusal_means_not_run_although_bytes_were_sent() -> None:
    dispatch = _dispatch()
    dispatch.open(1)
    dispatch.note_sent(1)
    dispatch.note_refused(1)
    assert dispatch.close(RudderError('refused')).ran is Ran.NO


def test_attempt_with_sent_bytes_cannot_be_noted_as_not_run() -> None:
    dispatch = _dispatch()
    dispatch.open(1)
    dispatch.note_sent(1)
    with pytest.raises(InvariantViolation, match='no_byte_sent'):
        dispatch.note_not_run(1)
    assert dispatch.ran is Ran.UNKNOWN


def test_refused_request_never_runs_afterwards() -> None:
    dispatch = _dispatch()
    dispatch.close(RudderError('refused'))
    with pytest.raises(InvariantViolation, match='no_run_after_refusal'):
        dispatch.open(1)


def test_no_byte_is_sent_outside_an_attempt() -> None:
    with pytest.raises(InvariantViolation, match='outside_an_attempt'):
        _dispatch().note_sent(1)
