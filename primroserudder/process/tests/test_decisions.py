"""The decision log limits its rate and reports the dropped lines."""

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
    captured: list[str] = []
    logger.remove()
    logger.add(captured.append, format=lambda record: _json(record['extra']))
    yield captured
    logger.remove()


def _json(extra: dict[str, object]) -> str:
    extra['json'] = orjson.dumps(extra['line']).decode()
    return '{extra[json]}\n'


def test_lines_above_the_limit_are_counted_and_reported(
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


def test_stalled_reader_does_not_block_the_writer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reading, writing = os.pipe()
    with os.fdopen(writing, 'w') as stalled_output:
        monkeypatch.setattr(sys, 'stdout', stalled_output)
        log_to_stdout()
        log = DecisionLog('vm', ManualClock(), burst_lines=100_000)
        log._tokens = 100_000
        for _ in range(20_000):
            log.note('answer', request='x' * 100)
        logger.remove()
    os.close(reading)
