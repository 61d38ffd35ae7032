"""Tests of the distribution of versions to the nodes of a site."""

import asyncio
import itertools

import pytest

from ...errors import RudderError
from ...testing import builders
from ...testing.sites import VersionSite
from ..distribution import FALLBACK_POLL_S, HEAD_POLL_S

BODY = builders.document_body()
DOMAINS = ('fd-1', 'fd-2', 'fd-3')
NODES_PER_DOMAIN = 5
PUSH_WAIT_S = 0.1


def _site() -> VersionSite:
    site = VersionSite()
    for domain, index in itertools.product(DOMAINS, range(NODES_PER_DOMAIN)):
        site.start(f'{domain}-e{index}', domain)
    site.introduce()
    return site


async def _accept(site: VersionSite, node_id: str, base: int) -> None:
    node = site.by_id[node_id]
    version = await node.store.submit(BODY, base, f's{base}')
    node.holder.offer(version)
    node.distributor.publish(version)


async def _poll_all(site: VersionSite) -> None:
    await asyncio.gather(
        *(node.distributor.poll() for node in site.by_id.values()),
        return_exceptions=True,
    )


@pytest.mark.looptime
async def test_push_brings_a_version_into_force_without_polling() -> None:
    site = _site()
    await _accept(site, 'fd-1-e0', 0)
    await asyncio.sleep(PUSH_WAIT_S)
    assert site.numbers() == {1}


@pytest.mark.looptime
async def test_poll_brings_a_version_into_force_if_all_pushes_fail() -> None:
    site = _site()
    await _poll_all(site)
    site.cut.add('fd-1-e0')
    await _accept(site, 'fd-1-e0', 0)
    await asyncio.sleep(PUSH_WAIT_S)
    assert site.numbers() == {0, 1}
    await asyncio.sleep(HEAD_POLL_S)
    await _poll_all(site)
    await asyncio.sleep(PUSH_WAIT_S)
    assert site.numbers() == {1}


@pytest.mark.looptime
async def test_two_nodes_of_each_domain_poll_the_head() -> None:
    site = _site()
    # The first poll of a process always reads the head.
    await _poll_all(site)
    before = site.memory.usage.reads
    await _poll_all(site)
    assert site.memory.usage.reads - before == 2 * len(DOMAINS)


@pytest.mark.looptime
async def test_other_nodes_read_the_head_at_the_fallback_interval() -> None:
    site = _site()
    await _poll_all(site)
    domain_nodes = [name for name in site.by_id if name.startswith('fd-1')]
    for name in domain_nodes:
        site.by_id[name].platform.is_down = True
    await _accept(site, 'fd-2-e0', 0)
    site.cut.update(domain_nodes)
    await asyncio.sleep(FALLBACK_POLL_S)
    for name in domain_nodes:
        site.by_id[name].platform.is_down = False
    await _poll_all(site)
    assert site.numbers() == {1}


@pytest.mark.looptime
async def test_replacement_gets_newest_version_from_peers_in_an_outage() -> (
    None
):
    site = VersionSite()
    for name, number in (('a', 7), ('b', 9), ('c', 7)):
        site.start(name).holder.offer(builders.version(number))
    fresh = site.start('d')
    fresh.platform.is_down = True
    with pytest.raises(RudderError):
        await fresh.distributor.poll()
    assert not fresh.distributor.is_caught_up()
    numbers = []
    for peer in ('a', 'b', 'c'):
        await site.exchange('d', peer)
        numbers.append(fresh.holder.current.number)
    fresh.distributor.has_asked_peers = True
    assert numbers == [7, 9, 9]
    assert fresh.distributor.is_caught_up()


@pytest.mark.looptime
async def test_delayed_head_read_does_not_revert_the_version() -> None:
    site = VersionSite()
    node = site.start('a')
    await _accept(site, 'a', 0)
    late = site.start('b')
    site.memory.faults.delay_s = 5
    delayed = asyncio.create_task(late.distributor.poll())
    await asyncio.sleep(1)
    site.memory.faults.delay_s = 0
    await _accept(site, 'a', 1)
    late.holder.offer(node.holder.current)
    await delayed
    assert late.holder.current.number == 2


@pytest.mark.looptime
async def test_missing_body_leaves_the_version_in_force() -> None:
    site = VersionSite()
    site.start('a')
    await _accept(site, 'a', 0)
    site.memory.objects_by_name.clear()
    fresh = site.start('b')
    assert not fresh.distributor.is_caught_up()
    with pytest.raises(RudderError, match='no object'):
        await fresh.distributor.poll()
    assert not fresh.distributor.is_caught_up()
    await site.exchange('b', 'a')
    assert fresh.holder.current.number == 1


@pytest.mark.looptime
async def test_process_is_caught_up_once_it_has_read_the_head() -> None:
    site = VersionSite()
    site.start('a')
    await _accept(site, 'a', 0)
    fresh = site.start('b')
    await fresh.distributor.poll()
    assert fresh.distributor.is_caught_up()
    assert fresh.holder.current.number == 1
