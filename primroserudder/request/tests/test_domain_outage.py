"""Tests that an outage of a fabric domain quarantines no request."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ...errors import RudderError
from ...process.engines import EngineAnswer, EngineCall, UpstreamLost
from ...testing.builders import confirmed
from ...testing.fakes import FakeEngines
from .test_attempts import Bench

pytestmark = pytest.mark.looptime


class HalfOpenEngines(FakeEngines):
    """Engines whose dead VMs still accept connections and drop them."""

    @asynccontextmanager
    async def generate(
        self,
        address: str,
        call: EngineCall,
    ) -> AsyncIterator[EngineAnswer]:
        if self.by_address[address].faults.is_dead:
            raise UpstreamLost(f'{address}: dropped')
        async with super().generate(address, call) as answer:
            yield answer


class OutageBench(Bench):
    """Two groups of one fabric domain, which can fail together."""

    def __init__(self) -> None:
        super().__init__()
        engines = HalfOpenEngines('', self.engines.by_address)
        self.server.engines = engines
        self.server.isolation.engines = engines

    def set_dead(self, *, is_dead: bool) -> None:
        for engine in self.engines.by_address.values():
            engine.faults.is_dead = is_dead

    def confirm_all(self) -> None:
        for group in self.server.router.directory.by_id.values():
            for rank, _ in enumerate(group.members):
                self.book.note(confirmed(group, rank), self.clock.monotonic())


async def test_request_is_answered_after_a_domain_outage() -> None:
    bench = OutageBench()
    lost = asyncio.create_task(bench.stream())
    await asyncio.sleep(0.1)
    bench.set_dead(is_dead=True)
    with pytest.raises(RudderError) as error:
        await lost
    assert error.value.code != 'request_quarantined'
    bench.set_dead(is_dead=False)
    bench.confirm_all()
    bench.sent.clear()
    answer = await bench.stream(request_id='req-2')
    assert answer.endswith(b'data: [DONE]\n\n')
