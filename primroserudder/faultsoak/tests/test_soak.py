"""A seed's plan stays the same, and a short soak of real processes passes."""

import pathlib

import pytest

from ..plan import FaultKind, plan_faults
from ..soak import Soak
from ..wishes import SoakWishes


def test_seed_gives_the_same_faults_each_time(tmp_path: pathlib.Path) -> None:
    first, again, other = (
        plan_faults(SoakWishes(seed, tmp_path)) for seed in (1, 1, 2)
    )
    assert first == again
    assert first != other


def test_seeds_show_every_kind_of_fault(tmp_path: pathlib.Path) -> None:
    shown = {
        fault.kind
        for seed in range(20)
        for fault in plan_faults(SoakWishes(seed, tmp_path))
    }
    assert shown == set(FaultKind)


@pytest.mark.parametrize('seed', [1, 2])
async def test_short_soak_keeps_all_promises(
    seed: int, tmp_path: pathlib.Path
) -> None:
    wishes = SoakWishes(
        seed, tmp_path, seconds=5, callers=6, recovery_s=float('inf')
    )
    report = await Soak(wishes).run()
    assert not report.violations
    assert report.runs > 0
