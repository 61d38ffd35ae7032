"""Guards against large configurations that many VMs get late or never."""

import asyncio
from collections.abc import Mapping

import pytest

from ....testing.largeversions import LargeVersions, SiteSize
from ....testing.virtualtime import run_virtually

# The users' bounds for small and for large sites.
SMALL_IN_FORCE_S = 2.0
IN_FORCE_S = 3.0
ROUTES = 1400
# From one version of a storm to the next.
GAPS_S = (0.06, 0.33)
VERSIONS = 12
SMALL = SiteSize(7, 14, 0.7)
LARGE = (SiteSize(106, 14, 0.7), SiteSize(77, 10, 0.5), SiteSize(63, 10, 0.5))
FULL_LINKS = SiteSize(106, 7, 0.9)
LATE = SiteSize(106, 14, 0.7, late_s=0.3)
SITES = (SMALL, *LARGE, FULL_LINKS, LATE)


def _bound_s(size: SiteSize) -> float:
    return SMALL_IN_FORCE_S if size is SMALL else IN_FORCE_S


@pytest.mark.parametrize('size', SITES)
def test_large_version_is_in_force_in_time(size: SiteSize) -> None:
    async def play() -> Mapping[str, float]:
        site = LargeVersions(size)
        await site.start()
        site.write(2, ROUTES)
        await asyncio.sleep(10)
        site.stop()
        return site.late_vms(2, _bound_s(size))

    assert not run_virtually(play())


@pytest.mark.parametrize('gap_s', GAPS_S)
@pytest.mark.parametrize('size', SITES)
def test_storm_after_a_large_version_is_in_force_in_time(
    size: SiteSize, gap_s: float
) -> None:
    async def play() -> Mapping[str, float]:
        site = LargeVersions(size)
        await site.start()
        site.write(2, ROUTES)
        await asyncio.sleep(6)
        for version in range(3, 3 + VERSIONS):
            site.write(version, 2 * ROUTES)
            await asyncio.sleep(gap_s)
        await asyncio.sleep(6)
        site.stop()
        return {
            **site.late_vms(3, _bound_s(size)),
            **site.late_vms(2 + VERSIONS, _bound_s(size)),
        }

    assert not run_virtually(play())
