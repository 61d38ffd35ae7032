"""A tenure that resumes after a late renewal goes on where it was."""

from ...testing.platformsite import PlatformSite, platform_site
from ..tenure import Tenure


async def _lapse(site: PlatformSite) -> Tenure:
    """End the tenure, as a late renewal does, and return the resumed one."""
    reconciler = site.routers[0].control_plane.reconciler
    ended = reconciler.tenure
    assert ended is not None
    reconciler._end_tenure(ended)
    await site.until(lambda: reconciler.tenure is not None)
    resumed = reconciler.tenure
    assert resumed is not None and resumed.fencing == ended.fencing
    return resumed


async def test_epochs_of_a_resumed_tenure_are_higher_than_before() -> None:
    # Engines refuse to join under an epoch lower than one that they have seen.
    async with platform_site(engines=8) as site:
        await site.until(lambda: len(site.heads()) > 1)
        used = [
            int(str(head.group['epoch'])) for head in site.heads() if head.group
        ]
        resumed = await _lapse(site)
        formation = resumed.next_formation('small', ('a', 'b'))
        assert formation.epoch > max(used)
