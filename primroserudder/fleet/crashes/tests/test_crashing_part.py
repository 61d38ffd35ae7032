"""A prompt's part that crashes engines is stopped; sound requests go on."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

import pytest

from ....standins.enginecrash import crash_with_connections
from ....standins.groupengine import GroupEngine
from ....testing.platformsite import PlatformSite, platform_site
from ....testing.promptparts import (
    CRASHING_PART,
    FIRST_PART,
    PLAIN_PATH,
    REPEATABLE_PATH,
    STREAM_PATH,
    PromptCallers,
)

SENDS = 12
# The rule's own bound; more only by requests that were already running.
MAX_CRASHES = 5
SLOTS = 4
EVENT_S = 0.03
SETTLED_S = 1.5
OTHER_CRASHING_PART = 'c0ffee'
POOLS = 2


async def _wait_until_serving(site: PlatformSite) -> None:
    directories = [router.view.directory for router in site.routers]
    await site.until(
        lambda: all(
            len(directory.targets_by_pool()) == POOLS
            for directory in directories
        )
    )


def _crash_on(site: PlatformSite, *parts: str) -> None:
    for engine in site.engines_by_id.values():
        engine.faults.crashing_parts.update(parts)


def _crashes(site: PlatformSite) -> int:
    return sum(engine.crashes for engine in site.engines_by_id.values())


def _arrivals(site: PlatformSite, part: str = CRASHING_PART) -> int:
    """Return how many requests with a part have reached engines."""
    return sum(
        part in arrival.shared_parts
        for engine in site.engines_by_id.values()
        for arrival in engine.received_requests
    )


def _plain_engines(site: PlatformSite) -> list[GroupEngine]:
    return [engine for engine in site.engines_by_id.values() if engine.is_plain]


async def _send_crashing(
    callers: PromptCallers,
    part: str = CRASHING_PART,
    router: int | None = None,
) -> list[int]:
    """Send crashing requests, each once all engines are back."""
    statuses = []
    for _ in range(SENDS):
        await _wait_until_serving(callers.site)
        statuses.extend(await callers.send_crashing(1, part, router))
    return statuses


@asynccontextmanager
async def _with_sound_requests(callers: PromptCallers) -> AsyncIterator[None]:
    """Send sound requests beside; some have completed before."""
    for engine in callers.site.engines_by_id.values():
        engine.event_s = EVENT_S
    sending = asyncio.ensure_future(callers.send_sound())
    await callers.site.until(lambda: len(callers.sound_answers) >= SENDS)
    try:
        yield
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)


@pytest.mark.parametrize('path', [PLAIN_PATH, REPEATABLE_PATH])
async def test_part_that_crashes_plain_engines_is_stopped(path: str) -> None:
    async with platform_site(plain=4, routers=2) as site:
        await _wait_until_serving(site)
        _crash_on(site, CRASHING_PART)
        statuses = await _send_crashing(PromptCallers(site, path))
        assert _crashes(site) <= MAX_CRASHES
        assert statuses[-1] == 503


async def test_part_that_crashes_heads_is_stopped() -> None:
    async with platform_site(engines=8, routers=2) as site:
        await _wait_until_serving(site)
        _crash_on(site, CRASHING_PART)
        statuses = await _send_crashing(PromptCallers(site))
        assert _crashes(site) <= MAX_CRASHES
        assert statuses[-1] == 503


async def test_part_that_crashes_heads_beside_sound_requests_is_stopped() -> (
    None
):
    async with platform_site(engines=8, routers=2) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site)
        _crash_on(site, CRASHING_PART)
        async with _with_sound_requests(callers):
            statuses = await _send_crashing(callers)
        assert _crashes(site) <= MAX_CRASHES
        assert statuses[-1] == 503


async def test_sound_requests_go_on_while_a_part_crashes_engines() -> None:
    async with platform_site(engines=8, routers=2) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site)
        _crash_on(site, CRASHING_PART)
        async with _with_sound_requests(callers):
            await _send_crashing(callers)
            await _wait_until_serving(site)
            await asyncio.sleep(SETTLED_S)
            since = asyncio.get_running_loop().time()
            crashes = _crashes(site)
            await _send_crashing(callers)
            await asyncio.sleep(SETTLED_S)
        assert _crashes(site) == crashes
        assert set(callers.sound_statuses(since)) == {200}
        assert not callers.refused_sound()


async def test_two_crashing_parts_at_once_are_both_stopped() -> None:
    async with platform_site(engines=12, routers=2) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site)
        _crash_on(site, CRASHING_PART, OTHER_CRASHING_PART)
        async with _with_sound_requests(callers):
            ends = await asyncio.gather(
                _send_crashing(callers, CRASHING_PART),
                _send_crashing(callers, OTHER_CRASHING_PART),
            )
        assert [statuses[-1] for statuses in ends] == [503, 503]
        assert _crashes(site) <= 2 * MAX_CRASHES


async def test_many_crashing_requests_at_once_are_stopped() -> None:
    # Each VM holds several, some of which wait or are about to be retried.
    async with platform_site(engines=12, routers=2) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site)
        _crash_on(site, CRASHING_PART)
        async with _with_sound_requests(callers):
            for _ in range(3):
                await asyncio.gather(
                    *(callers.send_crashing(4) for _ in range(6))
                )
                await _wait_until_serving(site)
            await asyncio.sleep(SETTLED_S)
            arrivals = _arrivals(site)
            statuses = await _send_crashing(callers)
        assert _arrivals(site) == arrivals
        assert set(statuses) == {503}


async def test_part_in_most_requests_of_late_is_stopped() -> None:
    # They arrive at once, and wait: no crash was seen before they did.
    engines = 4
    async with platform_site(plain=engines) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site, PLAIN_PATH)
        _crash_on(site, CRASHING_PART)
        for engine in site.engines_by_id.values():
            engine.faults.crashing_after_s = 0.3
        await asyncio.gather(*(callers.send_crashing(1) for _ in range(100)))
        assert _crashes(site) <= MAX_CRASHES + engines
        await _wait_until_serving(site)
        assert set(await callers.send_crashing(SENDS)) == {503}


def _quarantine(site: PlatformSite, part: str, router: int = 0) -> None:
    """Report the part's crashes as another VM does."""
    quarantine = site.routers[router].server.quarantine
    quarantine.merge('vm-9', [f'part.{part}={name}@1' for name in 'abc'])


async def test_waiting_request_is_refused_once_its_part_is_quarantined() -> (
    None
):
    async with platform_site(plain=1) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site, PLAIN_PATH)
        engine = _plain_engines(site)[0]
        engine.faults.never_answers = True
        fillers = [
            asyncio.ensure_future(callers.send(('b1',))) for _ in range(SLOTS)
        ]
        counts = site.routers[0].in_flight_counts
        await site.until(lambda: counts.running(engine.engine_id) == SLOTS)
        waiting = asyncio.ensure_future(callers.send_crashing(1))
        await site.until(lambda: bool(counts.own_waiting()))
        _quarantine(site, CRASHING_PART)
        for filler in fillers:
            filler.cancel()
        assert await waiting == [503]
        assert not _arrivals(site)


async def test_request_is_not_retried_once_its_part_is_quarantined() -> None:
    async with platform_site(engines=4, plain=2) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site, REPEATABLE_PATH)
        for engine in _plain_engines(site):
            engine.faults.never_answers = True
        sent = asyncio.ensure_future(callers.send_crashing(1))
        await site.until(lambda: _arrivals(site) == 1)
        _quarantine(site, CRASHING_PART)
        for engine in _plain_engines(site):
            crash_with_connections(engine)
        assert await sent == [502]
        assert _arrivals(site) == 1


async def test_quarantined_part_outlives_all_routers() -> None:
    async with platform_site(plain=4, routers=2) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site, PLAIN_PATH)
        _crash_on(site, CRASHING_PART)
        await _send_crashing(callers)
        crashes = _crashes(site)
        await asyncio.sleep(SETTLED_S)
        await site.restart_routers()
        await _send_crashing(callers)
        assert _crashes(site) == crashes
        assert crashes <= MAX_CRASHES


async def test_quarantined_part_outlives_a_restored_store_and_all_routers() -> (
    None
):
    async with platform_site(plain=4, routers=2) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site, PLAIN_PATH)
        rows_copy = site.store.rows.copy()
        _crash_on(site, CRASHING_PART)
        await _send_crashing(callers)
        crashes = _crashes(site)
        await asyncio.sleep(SETTLED_S)
        site.store.rows.restore(rows_copy)
        for engine in site.engines_by_id.values():
            engine.register()
        # The void time of a row that was written before must pass first.
        await asyncio.sleep(2 * SETTLED_S)
        await site.restart_routers()
        await _send_crashing(callers)
        assert _crashes(site) == crashes
        assert crashes <= MAX_CRASHES


async def test_quarantined_part_reaches_routers_that_hear_no_notices() -> None:
    async with platform_site(plain=4, routers=2) as site:
        await _wait_until_serving(site)
        for router in site.routers:
            router.exchange.listeners.clear()
        callers = PromptCallers(site, PLAIN_PATH)
        _crash_on(site, CRASHING_PART)
        await _send_crashing(callers, router=0)
        crashes = _crashes(site)
        await asyncio.sleep(SETTLED_S)
        assert await callers.send_crashing(1, router=1) == [503]
        assert _crashes(site) == crashes
        assert crashes <= MAX_CRASHES


def _kill_all(engines: Iterable[GroupEngine]) -> None:
    for engine in engines:
        crash_with_connections(engine)


def _garble(engines: Iterable[GroupEngine]) -> None:
    for engine in engines:
        engine.faults.omits_seal = True


def _fall_silent(engines: Iterable[GroupEngine]) -> None:
    # Groups whose heads all fall silent are formed anew, which takes longer.
    for engine in itertools.islice(engines, 0, None, 3):
        engine.faults.is_unresponsive = True


def _kill_one_domain(engines: Iterable[GroupEngine]) -> None:
    for engine in engines:
        engine.restart_s = 1.0
        crash_with_connections(engine)


def _mend(engines: Iterable[GroupEngine]) -> None:
    for engine in engines:
        engine.faults.omits_seal = False
        engine.faults.is_unresponsive = False


async def _until_served_again(callers: PromptCallers) -> None:
    since = asyncio.get_running_loop().time()
    await callers.site.until(lambda: 200 in callers.sound_statuses(since))


@pytest.mark.parametrize('path', [STREAM_PATH, PLAIN_PATH])
@pytest.mark.parametrize(
    'fault', [_kill_all, _kill_one_domain, _garble, _fall_silent]
)
async def test_first_part_of_all_requests_survives_other_losses_of_engines(
    fault: Callable[[Iterable[GroupEngine]], None], path: str
) -> None:
    async with platform_site(engines=10, plain=5, routers=2) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site, path)
        engines = tuple(site.engines_by_id.values())
        async with _with_sound_requests(callers):
            for _ in range(2):
                fault(engines)
                await asyncio.sleep(1)
                _mend(engines)
                await asyncio.sleep(0.5)
            await _until_served_again(callers)
        assert not callers.refused_sound()


async def test_first_part_survives_kills_while_nothing_completes() -> None:
    # Engines hang for some seconds, then end one after another.
    async with platform_site(plain=5, routers=2) as site:
        await _wait_until_serving(site)
        callers = PromptCallers(site, REPEATABLE_PATH)
        engines = _plain_engines(site)
        async with _with_sound_requests(callers):
            for engine in engines:
                engine.faults.never_answers = True
            await asyncio.sleep(2)
            for engine in engines:
                crash_with_connections(engine)
                await asyncio.sleep(0.2)
            for engine in engines:
                engine.faults.never_answers = False
            await _until_served_again(callers)
        assert not callers.refused_sound()


async def test_sound_request_with_the_part_as_its_last_is_served() -> None:
    # The last part belongs to the request itself and is no suspect.
    async with platform_site() as site:
        await _wait_until_serving(site)
        _quarantine(site, CRASHING_PART)
        async with site.request(
            '/notes/1',
            headers={
                'X-Primroserudder-Prefix-Hash': (
                    f'{FIRST_PART}:800,{CRASHING_PART}:410'
                )
            },
        ) as response:
            await response.read()
            assert response.status == 200
