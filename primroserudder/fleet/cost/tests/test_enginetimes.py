"""The expected time to the first event follows how engines batch."""

from dataclasses import replace

import pytest

from ....testing.costdata import TIMES
from ..enginetimes import pass_times, read_s


def _expected(
    writing: int = 0, reading_s: float = 0, read: float = 0.02
) -> float:
    return pass_times(TIMES).first_event_s(writing, reading_s + read)


def test_idle_engine_reads_the_prompt_and_makes_one_step() -> None:
    assert _expected() == pytest.approx(0.02 + 0.00607 + 0.000482)


def test_time_grows_with_each_request_that_writes() -> None:
    # A step of the engine takes longer, and the request waits for a pass.
    times = [_expected(writing) for writing in range(17)]
    assert times == sorted(set(times))
    assert times[1] - times[0] > 5 * TIMES.step_s
    assert times[16] > times[1] + 7 * 15 * TIMES.request_s


def test_time_grows_by_the_prompts_that_wait() -> None:
    assert _expected(3, 0.05) == pytest.approx(_expected(3) + 0.05)


def test_prompt_longer_than_a_pass_takes_several() -> None:
    # Five chunks of 2,048 tokens are read in a pass of five steps.
    one_pass_s = read_s(TIMES, 7_000)
    two_passes_s = read_s(TIMES, 9_500)
    step_s = TIMES.step_s + 4 * TIMES.request_s
    added_s = _expected(3, 0, two_passes_s) - _expected(3, 0, one_pass_s)
    assert added_s > two_passes_s - one_pass_s + 4.9 * step_s
    unlimited = replace(TIMES, chunk_tokens=0)
    unlimited_s = pass_times(unlimited).first_event_s(3, two_passes_s)
    assert unlimited_s < _expected(3, 0, two_passes_s)


def test_reading_takes_more_than_twice_as_long_for_twice_the_prompt() -> None:
    # Pairs of tokens count, and long prompts have many.
    assert read_s(TIMES, 20_000) > 2 * read_s(TIMES, 10_000)
