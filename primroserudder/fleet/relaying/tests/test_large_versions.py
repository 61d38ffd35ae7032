"""Guards against large configurations that many VMs get late or never."""

import asyncio
from collections.abc import Mapping

import pytest

from ....testing.largeversions import LargeVersions, SiteSize
from ....testing.virtualtime import run_virtually

# The users' bound for large sites.
IN_FORCE_S = 3.0
ROUTES = 1120
SITES = (SiteSize(106, 14, 0.7), SiteSize(77, 10, 0.5), SiteSize(63, 10, 0.5))


@pytest.mark.parametrize('size', SITES)
def test_large_version_is_in_force_in_time(size: SiteSize) -> None:
    async def play() -> Mapping[str, float]:
        site = LargeVersions(size)
        await site.start()
        site.write(2, ROUTES)
        await asyncio.sleep(10)
        site.stop()
        return site.late_vms(2, IN_FORCE_S)

    assert not run_virtually(play())


@pytest.mark.parametrize('size', SITES)
def test_storm_after_a_large_version_is_in_force_in_time(
    size: SiteSize,
) -> None:
    async def play() -> Mapping[str, float]:
        site = LargeVersions(size)
        await site.start()
        site.write(2, ROUTES)
        await asyncio.sleep(10)
        for version in range(3, 15):
            site.write(version, 2 * ROUTES)
            await asyncio.sleep(0.33)
        await asyncio.sleep(10)
        site.stop()
        return {
            **site.late_vms(3, IN_FORCE_S),
            **site.late_vms(14, IN_FORCE_S),
        }

    assert not run_virtually(play())
