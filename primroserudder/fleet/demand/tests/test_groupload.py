"""Tests how many requests a group serves well at a time."""

from dataclasses import replace

from ....testing.fleetdata import SPEC
from ...model import EngineTimes
from ..groupload import MAX_SLOWDOWN, TARGET_SLOT_USE, usable_requests
from ..meter import DemandMeter

SLOWING = EngineTimes(0.006, 46_000, request_s=0.0005)


def test_group_that_slows_down_runs_fewer_requests_than_it_has_slots() -> None:
    """Groups of slowing engines answered late with half of their slots free."""
    spec = replace(SPEC, slots=17, times=SLOWING)
    usable = usable_requests(spec)
    step_s = SLOWING.step_s + usable * SLOWING.request_s
    assert step_s <= MAX_SLOWDOWN * SLOWING.step_s
    assert usable < spec.slots * TARGET_SLOT_USE


def test_slots_limit_the_requests_of_engines_that_hardly_slow_down() -> None:
    times = replace(SLOWING, request_s=0.00001)
    spec = replace(SPEC, times=times)
    assert usable_requests(spec) == usable_requests(SPEC)


def test_slowing_groups_are_wanted_in_larger_number() -> None:
    meter = DemandMeter()
    meter.record({'model/small': 60}, 0)
    domains = (11,) * 6
    usual = meter.wanted('model', SPEC, domains, has_traffic=True)
    spec = replace(SPEC, times=SLOWING)
    wanted = meter.wanted('model', spec, domains, has_traffic=True)
    assert wanted['small'] > usual['small']
