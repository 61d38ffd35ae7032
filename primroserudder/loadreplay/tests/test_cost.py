"""The cost of decisions is measured for the smallest fleet size."""

from ..cost import SIZES, measure


def test_smallest_fleet_is_measured() -> None:
    cost = measure(min(SIZES))
    assert cost.engines == min(SIZES)
    assert cost.lifecycle_us >= 0
