"""Tests of completions with an idempotency key, in virtual time."""

from dataclasses import dataclass

import pytest

from ...errors import Ran
from ...process.engines import UpstreamLost
from ...testing import builders
from ...testing.keyedbench import Heard
from ...version.holder import VersionHolder
from ..caller import parse_completion
from ..execution import ModelExecution
from ..servicecall import ServiceCall, keyed_call
from .test_attempts import Bench

pytestmark = pytest.mark.looptime


@dataclass(slots=True, kw_only=True)
class CrashingCaller(Heard):
    """A caller whose first received part triggers an engine crash."""

    bench: Bench

    async def send(self, part: bytes) -> None:
        """Crash the engine that sent the part."""
        self.bench.crash_running()


def _call(*, stream: bool) -> ServiceCall:
    incoming = builders.incoming_request(
        {
            'model': builders.SERVICE,
            'prompt': 'p',
            'max_tokens': 20,
            'stream': stream,
        },
    )
    parse_completion(incoming, builders.WORKSPACE, builders.version())
    return keyed_call(incoming, builders.WORKSPACE)


def _execution(bench: Bench) -> ModelExecution:
    holder = VersionHolder()
    holder.offer(builders.version())
    return ModelExecution(bench.server, holder)


@pytest.mark.parametrize('stream', [True, False])
async def test_keyed_completion_gets_a_complete_answer(stream: bool) -> None:
    bench = Bench()
    heard = Heard()
    call = _call(stream=stream)
    await _execution(bench).execute(call, bench.dispatch, heard)
    ending = b'[DONE]\n\n' if stream else b'}'
    assert b''.join(heard.parts).endswith(ending)


async def test_lost_keyed_completion_is_not_retried() -> None:
    bench = Bench()
    call = _call(stream=True)

    heard = CrashingCaller(bench=bench)
    with pytest.raises(UpstreamLost) as lost:
        await _execution(bench).execute(call, bench.dispatch, heard)
    assert bench.dispatch.close(lost.value).ran is Ran.YES
    assert bench.dispatch.open_attempts == {1}
