"""A lease holder that reaches no engine does no harm to the groups.

Explanation
===========
To such a holder all engines seem lost. It must neither report their groups as
broken nor keep the lease, since no group can be repaired from there.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from ....testing.enginecuts import CutKind, cut_off_from_engines
from ....testing.platformsite import PlatformSite, platform_site
from ...router import Router

CUT_S = 3.0
KINDS = (CutKind.REFUSED, CutKind.SILENT)


@asynccontextmanager
async def _site() -> AsyncIterator[PlatformSite]:
    """Run a site of three routers that all know an open group."""
    async with platform_site(engines=8, routers=3) as site:
        directories = [router.view.directory for router in site.routers]
        await site.until(
            lambda: all(
                'model/small' in directory.targets_by_pool()
                for directory in directories
            )
        )
        yield site


def _holder(site: PlatformSite) -> int:
    held = [router.lease.is_held() for router in site.routers]
    return held.index(True)


async def _send_while(
    site: PlatformSite, router: int, is_due: Callable[[], bool]
) -> list[int]:
    statuses = []
    while is_due():
        async with site.request('/notes/1', router=router) as response:
            await response.read()
            statuses.append(response.status)
    return statuses


@pytest.mark.parametrize('kind', KINDS)
async def test_groups_stay_while_the_holder_reaches_no_engine(
    kind: CutKind,
) -> None:
    async with _site() as site:
        holder = _holder(site)
        groups = {head.engine_id: head.group for head in site.heads()}
        ends_at = asyncio.get_running_loop().time() + CUT_S

        def is_cut() -> bool:
            return asyncio.get_running_loop().time() < ends_at

        with cut_off_from_engines(site, site.routers[holder], kind):
            own, others = await asyncio.gather(
                _send_while(site, holder, is_cut),
                _send_while(site, (holder + 1) % 3, is_cut),
            )
        assert set(others) == {200}
        assert own.count(200) > len(own) / 2
        still = {head.engine_id: head.group for head in site.heads()}
        assert still.items() >= groups.items()


@pytest.mark.parametrize('kind', KINDS)
async def test_probes_of_a_holder_without_links_break_no_group(
    kind: CutKind,
) -> None:
    # A silent head, of which another router tells, makes the holder probe.
    async with _site() as site:
        await site.until(lambda: len(site.heads()) > 1)
        holder = _holder(site)
        reconciler = site.routers[holder].control_plane.reconciler
        groups = {head.engine_id: head.group for head in site.heads()}
        with cut_off_from_engines(site, site.routers[holder], kind):
            reconciler.reachability.probe('test', tuple(site.engines_by_id))
            await asyncio.sleep(CUT_S / 2)
            assert not reconciler.broken.names
            assert (
                not site.routers[holder]
                .exchange.links.own_facts()
                .broken_groups
            )
        still = {head.engine_id: head.group for head in site.heads()}
        assert still.items() >= groups.items()


@pytest.mark.parametrize('kind', KINDS)
async def test_group_is_repaired_while_a_former_holder_reaches_no_engine(
    kind: CutKind,
) -> None:
    async with _site() as site:
        holder = _holder(site)
        cut_off: Router = site.routers[holder]
        with cut_off_from_engines(site, cut_off, kind):
            sends = asyncio.ensure_future(
                _send_while(site, holder, lambda: True)
            )
            async with asyncio.timeout(CUT_S):
                await site.until(
                    lambda: any(
                        router.lease.is_held()
                        for router in site.routers
                        if router is not cut_off
                    )
                )
            sends.cancel()
        assert not cut_off.lease.is_held()
