"""Rows of strikes that the store refuses do not keep others from it."""

from ....testing.platformsite import platform_site

LONG_ID = 'x' * 200


async def test_strike_with_a_long_name_does_not_spoil_the_others() -> None:
    """Else no strike is written while one engine has a long name."""
    async with platform_site() as site:
        await site.until(lambda: bool(site.heads()))
        router = site.routers[0]
        sound = ('digest=a@1', 'digest=b@1', 'digest=c@1')
        long = tuple(f'other={LONG_ID}{name}@1' for name in 'abc')
        router.server.quarantine.merge('vm-9', (*long, *sound))
        await site.until(
            lambda: set(site.store.rows.copy().keys_of('strikes')) == set(sound)
        )
        assert not site.store.refused
