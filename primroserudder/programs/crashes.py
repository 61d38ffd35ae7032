"""Crashes replicas of the embedded system and forms their groups again."""

import asyncio
import random
from dataclasses import dataclass, replace

import aiohttp

from ..process.engines import EngineOrder
from ..process.groups import (
    GROUP_PREFIX,
    GroupRecord,
    group_from_fields,
    group_to_fields,
)
from ..process.platform import Transaction, Write
from ..standins.engine import Engine
from .demo import DEMO_KEY, EXAMPLE
from .entrynode import EntryNode
from .local import FAILURE_DOMAINS, LOCAL_TOKEN, Local
from .operatorclient import OperatorClient

POLL_S = 0.05
READY_TIMEOUT_S = 30
PAUSE_S = 0.5
ORDER_LIFETIME_S = 5


def drill_session() -> aiohttp.ClientSession:
    """Return a session for any number of calls with the example's key."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        headers={'Authorization': f'Bearer {DEMO_KEY}'},
    )


def callers_urls(local: Local) -> list[str]:
    """Return the callers' ports of all entries."""
    ports = local.ports()['callers'].values()
    return [f'http://127.0.0.1:{port}' for port in ports]


async def configure_local(session: aiohttp.ClientSession, local: Local) -> None:
    """Apply the example and wait until every entry sees all groups serving."""
    operators = local.ports()['operators'][FAILURE_DOMAINS[0]]
    client = OperatorClient(
        session,
        f'http://127.0.0.1:{operators}',
        LOCAL_TOKEN,
    )
    body = EXAMPLE.read_bytes()
    await client.post('/v1/config?base=0&submission=drill', body)
    async with asyncio.timeout(READY_TIMEOUT_S):
        await wait_until_all_serving(local)


async def wait_until_all_serving(local: Local) -> None:
    """Wait until each entry may use every group that the table lists."""
    entries = local.entries_by_domain.values()
    while not all(_sees_all_serving(local, entry) for entry in entries):
        await asyncio.sleep(POLL_S)


def listed_groups(local: Local) -> list[GroupRecord]:
    """Return the groups as stored on the platform."""
    rows = local.standins.platform.rows_by_key
    return [
        group_from_fields(row.fields)
        for key, row in rows.items()
        if key.startswith(GROUP_PREFIX)
    ]


@dataclass(slots=True)
class Crasher:
    """Crashes whole replicas in the middle of their streams."""

    local: Local
    rng: random.Random
    crashes: int = 0
    streams_cut: int = 0

    async def crash_many(self, count: int) -> None:
        """Crash busy replicas one by one, ``count`` in total."""
        while self.crashes < count:
            await wait_until_all_serving(self.local)
            await asyncio.sleep(self.rng.uniform(0, PAUSE_S))
            busy = list(filter(self._load, listed_groups(self.local)))
            if busy:
                await self._crash(self.rng.choice(busy))

    def _load(self, group: GroupRecord) -> int:
        return engines_of(self.local, group)[0].running

    async def _crash(self, group: GroupRecord) -> None:
        self.crashes += 1
        self.streams_cut += self._load(group)
        engines = engines_of(self.local, group)
        for engine in engines:
            engine.crash()
        await asyncio.sleep(self.rng.uniform(0, PAUSE_S))
        await restore(self.local, group)


def _order(group: GroupRecord, rank: int) -> EngineOrder:
    return EngineOrder(
        group_id=group.group_id,
        generation=group.generation,
        model=group.model,
        model_version=group.model_version,
        members=tuple(member.vm_id for member in group.members),
        rank=rank,
        fencing=group.generation,
        valid_for=ORDER_LIFETIME_S,
    )


def _sees_all_serving(local: Local, entry: EntryNode) -> bool:
    groups = listed_groups(local)
    groups_by_id = entry.directory.by_id
    book = entry.evidence.book
    return bool(groups) and all(
        groups_by_id.get(group.group_id) == group and book.is_serving(group)
        for group in groups
    )


@dataclass(slots=True)
class Repair:
    """Forms groups again whose leader has restarted."""

    local: Local

    async def run(self) -> None:
        """Restore groups with a restarted leader until the entries stop."""
        while self.local.entries_by_domain:
            for group in listed_groups(self.local):
                leader = engines_of(self.local, group)[0]
                if leader.incarnation != group.leader.incarnation:
                    await restore(self.local, group)
            await asyncio.sleep(PAUSE_S)


def engines_of(local: Local, group: GroupRecord) -> list[Engine]:
    """Return the engines of a group, its leader first."""
    by_vm = local.standins.engines_by_vm
    return [by_vm[member.vm_id] for member in group.members]


async def restore(local: Local, group: GroupRecord) -> None:
    """Form a group again from the engines that replaced the crashed ones.

    Explanation
    ===========
    This replaces the controller, with which a drill of many crashes would
    take hours.
    """
    engines = engines_of(local, group)
    new_group = replace(
        group,
        generation=group.generation + 1,
        members=tuple(
            replace(member, incarnation=engine.incarnation)
            for member, engine in zip(group.members, engines, strict=True)
        ),
    )
    for rank, engine in enumerate(engines):
        engine.apply_order(_order(new_group, rank))
    write = Write(new_group.key, group_to_fields(new_group))
    await local.standins.platform.commit(Transaction((), (write,)))
