"""A site in which one router forwards all requests to the others."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from .enginecuts import CutKind, cut_off_from_engines
from .platformsite import PlatformSite, platform_site


@asynccontextmanager
async def forwarding_site(routers: int = 3) -> AsyncIterator[PlatformSite]:
    """Run a site whose first router forwards all requests."""
    async with platform_site(engines=8, routers=routers) as site:
        directories = [router.view.directory for router in site.routers]
        await site.until(
            lambda: all(
                {'ledger/', 'model/small'} <= directory.targets_by_pool().keys()
                for directory in directories
            )
        )
        first = site.routers[0]
        with cut_off_from_engines(site, first, CutKind.REFUSED):
            first.forwarder.reach.doubt()
            others = routers - 1
            await site.until(
                lambda: len(first.forwarder.peers.targets()) == others
            )
            yield site
