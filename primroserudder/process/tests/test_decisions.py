"""The log of decisions is bounded, and tells what it left out."""

import os
import sys
from collections.abc import Iterator

import orjson
import pytest
from loguru import logger

from ...testing.fleetdata import ManualClock
from ..decisions import DecisionLog, log_to_stdout


@pytest.fixture(name='lines')
def _lines() -> Iterator[list[str]]:
    caught: list[str] = []
    logger.remove()
    logger.add(caught.append, format=lambda record: _json(record['extra']))
    yield caught
    logger.remove()


def _json(extra: dict[str, object]) -> str:
    extra['json'] = orjson.dumps(extra['line']).decode()
    return '{extra[json]}\n'


def test_lines_beyond_the_bound_are_counted_and_told(
    lines: list[str],
) -> None:
    clock = ManualClock()
    log = DecisionLog('vm', clock, lines_per_s=10, burst_lines=20)
    for number in range(1000):
        log.note('repeat', request=str(number))
    assert len(lines) == 20
    assert log.dropped == 980
    clock.advance(1)
    log.note('repeat', request='later')
    assert orjson.loads(str(lines[-1]).encode())['dropped_before'] == 980


def test_volume_stays_bounded_at_any_load(lines: list[str]) -> None:
    clock = ManualClock()
    log = DecisionLog('vm', clock, lines_per_s=200, burst_lines=600)
    for number in range(50_000):
        log.note('refuse', request=str(number))
        clock.advance(10 / 50_000)
    assert len(lines) <= 600 + 200 * 10


def test_reader_that_stands_still_delays_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reading, writing = os.pipe()
    with os.fdopen(writing, 'w') as stuck:
        monkeypatch.setattr(sys, 'stdout', stuck)
        log_to_stdout()
        log = DecisionLog('vm', ManualClock(), burst_lines=100_000)
        log._level = 100_000
        for _ in range(20_000):
            log.note('answer', request='x' * 100)
        logger.remove()
    os.close(reading)
