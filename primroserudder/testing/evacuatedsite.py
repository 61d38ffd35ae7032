"""A site on loopback of which operators evacuate failure domains."""

import asyncio
from collections.abc import AsyncIterator, Collection, Sequence
from contextlib import asynccontextmanager

from ..fleet.router import Router
from .platformsite import PlatformSite, platform_site

DOMAINS = ('fd-1', 'fd-2', 'fd-3')
KEY_PREFIX = 'evacuate/'


@asynccontextmanager
async def site_of_domains(
    engines: int = 12,
    plain: int = 3,
    routers: int = 1,
    domains: Sequence[str] = DOMAINS,
) -> AsyncIterator[PlatformSite]:
    """Run a site with groups in each domain, which all routers know."""
    async with platform_site(engines, plain, routers, domains=domains) as site:
        await site.until(
            lambda: all(
                serving_domains(router, pool) == set(domains)
                for router in site.routers
                for pool in ('model/small', 'ledger/')
            )
        )
        yield site


def serving_domains(router: Router, pool: str) -> set[str]:
    """Return the domains of the targets of a pool, as a router knows them."""
    targets = router.view.directory.targets_by_pool().get(pool, ())
    return {target.failure_domain for target in targets}


def evacuate(site: PlatformSite, *domains: str) -> None:
    """Write the rows that evacuate some domains."""
    for domain in domains:
        site.store.rows.put('op', f'{KEY_PREFIX}{domain}', {})


def revoke(site: PlatformSite, *domains: str) -> None:
    """Remove the rows that evacuate some domains."""
    for domain in domains:
        site.store.rows.remove('op', f'{KEY_PREFIX}{domain}')


async def until_heard(site: PlatformSite, *domains: str) -> None:
    """Wait until all routers know exactly these domains as evacuated."""
    await site.until(
        lambda: all(
            router.view.evacuations.domains == set(domains)
            for router in site.routers
        )
    )


async def statuses(
    site: PlatformSite, path: str, count: int, router: int = 0
) -> list[int]:
    """Send some requests at once; return the statuses of the answers."""
    return list(
        await asyncio.gather(
            *(_status(site, path, router) for _ in range(count))
        )
    )


async def _status(site: PlatformSite, path: str, router: int) -> int:
    async with site.request(path, router=router) as response:
        await response.read()
        return response.status


def received_by_domain(
    site: PlatformSite, since: float, domains: Collection[str]
) -> int:
    """Return how many requests engines of some domains got since a time."""
    return sum(
        arrival.received_at >= since
        for engine in site.engines_by_id.values()
        if engine.failure_domain in domains
        for arrival in engine.received_requests
    )
