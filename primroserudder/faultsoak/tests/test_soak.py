"""A seed's plan is reproducible, and a short soak of real processes passes."""

import pathlib

import pytest

from ..options import SoakOptions
from ..plan import FaultKind, plan_faults
from ..soak import Soak


def test_seed_gives_the_same_faults_each_time(tmp_path: pathlib.Path) -> None:
    first, again, other = (
        plan_faults(SoakOptions(seed, tmp_path)) for seed in (1, 1, 2)
    )
    assert first == again
    assert first != other


def test_seeds_plan_every_kind_of_fault(tmp_path: pathlib.Path) -> None:
    planned_kinds = {
        fault.kind
        for seed in range(20)
        for fault in plan_faults(SoakOptions(seed, tmp_path))
    }
    assert planned_kinds == set(FaultKind)


@pytest.mark.parametrize('seed', [1, 2])
async def test_short_soak_has_no_violations(
    seed: int, tmp_path: pathlib.Path
) -> None:
    options = SoakOptions(
        seed, tmp_path, seconds=5, callers=6, recovery_s=float('inf')
    )
    report = await Soak(options).run()
    assert not report.violations
    assert report.runs > 0
