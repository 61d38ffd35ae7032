"""Decisions are measured at every size, on whole groups."""

from ..cost import SIZES, measure


def test_small_and_large_fleets_are_measured() -> None:
    cost = measure(min(SIZES))
    assert cost.engines == min(SIZES)
    assert cost.tending_us >= 0
