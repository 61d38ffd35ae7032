"""Tests of attempts: resumption, refusal and the reported ``ran``."""

import asyncio
import random

import pytest

from ...errors import Ran, RudderError
from ...process.clock import LoopClock
from ...process.engines import UpstreamLost
from ...process.evidence import EvidenceBook
from ...process.groups import GroupDirectory
from ...process.invariants import Invariants
from ...process.metrics import Metrics
from ...testing.builders import DOMAIN, caller_request, confirmed
from ...testing.fakes import FakeEngines, group_of_engines
from ..attempts import Server
from ..dispatch import DispatchRecord
from ..routing import Router

pytestmark = pytest.mark.looptime


class Bench:
    """Two groups of fake engines behind a server."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.engines = FakeEngines()
        self.book = EvidenceBook(self.clock)
        directory = GroupDirectory()
        for index in range(2):
            group = group_of_engines(self.engines, self.clock, index)
            directory.update(group)
            for rank, _ in enumerate(group.members):
                self.book.note(confirmed(group, rank), 0)
        router = Router(DOMAIN, directory, self.book, random.Random(1))
        self.server = Server(router, self.engines, self.clock, Metrics())
        self.dispatch = DispatchRecord(Invariants(Metrics()), 'req-1')
        self.sent: list[bytes] = []

    async def send(self, events: bytes) -> None:
        self.sent.append(events)

    async def stream(self, **changes: object) -> bytes:
        request = caller_request(**changes)
        await self.server.stream(request, self.dispatch, self.send)
        return b''.join(self.sent)

    def crash_running(self) -> None:
        for engine in self.engines.by_address.values():
            if engine.running:
                engine.crash()


async def test_crash_in_mid_stream_does_not_change_the_answer() -> None:
    expected = await Bench().stream()
    bench = Bench()
    answer = asyncio.create_task(bench.stream())
    await asyncio.sleep(0.1)
    bench.crash_running()
    assert await answer == expected
    assert bench.server.metrics.value('retries', code='engine_crashed') == 1


async def test_lost_non_idempotent_request_is_not_retried() -> None:
    bench = Bench()
    answer = asyncio.create_task(bench.stream(is_idempotent=False))
    await asyncio.sleep(0.1)
    bench.crash_running()
    with pytest.raises(UpstreamLost) as lost:
        await answer
    assert bench.dispatch.close(lost.value).ran is Ran.YES


async def test_refusal_without_a_whole_group_reports_not_run() -> None:
    bench = Bench()
    for vm_id in tuple(bench.book.dump()):
        bench.book.note_refusal(vm_id)
    with pytest.raises(RudderError) as refused:
        await bench.stream()
    assert refused.value.code == 'no_group_serves'
    assert bench.dispatch.close(refused.value).ran is Ran.NO


async def test_stale_evidence_stops_dispatch_after_a_pause() -> None:
    bench = Bench()
    await asyncio.sleep(30)
    with pytest.raises(RudderError) as refused:
        await bench.stream()
    assert refused.value.code == 'no_group_serves'
