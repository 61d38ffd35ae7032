"""Stateful fuzzing of at-most-once execution against a simple oracle.

The oracle checks that no key runs twice, that no caller gets "not run" for a
key that ran, that an attempt refused with "not run" never runs later, and that
no caller gets the answer to another request.
"""

import asyncio
import os
from collections import Counter
from typing import ClassVar

from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from ...testing.keyedbench import Heard, KeyedBench, answer_to
from ...testing.virtualtime import VirtualTimeLoop
from ..servicecall import ServiceCall

RUNS = int(os.environ.get('ONCE_FUZZ_RUNS', '400'))
STEPS = 50
# Shrinking a failure takes minutes; a value of 1 skips it.
PHASES = int(os.environ.get('ONCE_FUZZ_PHASES', '2'))
MIN_STEPS = 10_000
EXPECTED_CODES = frozenset(
    (
        'ok',
        'key_in_progress',
        'key_not_checked',
        'key_owner_unreachable',
        'key_reused',
        'may_have_run',
        'upstream_lost',
        'upstream_unreachable',
    ),
)
ENTRY_IDS = ('entry-1', 'entry-2', 'entry-3')
WORKSPACES = ('yard', 'depot')
FATES = ('ok', 'ok', 'ok', 'lost', 'unreachable')
SECONDS = ('0', '0.3', '4')

entry_ids = strategies.sampled_from(ENTRY_IDS)


# The derandomized seed is derived from the source of this class, comments
# excepted: a changed name or docstring in it changes the examples.
class OnceMachine(RuleBasedStateMachine):
    """Three entries, their platform and upstream, and many callers."""

    steps_taken: ClassVar[int] = 0
    heard_by_code: ClassVar[Counter[str]] = Counter()

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.bench = KeyedBench()
        for node_id in ENTRY_IDS:
            self.bench.start_entry(node_id)
        self.minted: list[tuple[str, str]] = []
        self.refused: set[str] = set()
        self.faults: list[str] = []
        self.checks = 0

    def teardown(self) -> None:
        self.bench.platform.faults.is_down = False
        self.run_for(60)
        self.check()
        self.loop.close_all()
        # The invariant is also checked before the first step and at the end.
        OnceMachine.steps_taken += self.checks - 2

    def run_for(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @invariant()
    def check(self) -> None:
        self.checks += 1
        upstream = self.bench.upstream
        twice = [
            call for call, runs in upstream.runs_by_call.items() if runs > 1
        ]
        assert not twice, f'ran twice: {twice}'
        assert not self.faults, self.faults
        late = self.refused & upstream.requests_run
        assert not late, f'ran after the refusal: {late}'
        assert not self.loop.errors, self.loop.errors

    @rule(
        at=strategies.lists(entry_ids, min_size=1, max_size=3),
        number=strategies.integers(0, 3),
        workspace=strategies.sampled_from(WORKSPACES),
        fate=strategies.sampled_from(FATES),
        seconds=strategies.sampled_from(SECONDS),
        is_fresh=strategies.booleans(),
    )
    def send(
        self,
        at: list[str],
        number: int,
        workspace: str,
        fate: str,
        seconds: str,
        is_fresh: bool,
    ) -> None:
        """Send one request under a caller's key, to several at once."""
        body = f'{fate}:{seconds}:{is_fresh}'.encode()
        self.dispatch(at, f'key-{number}', body, workspace)

    @rule(at=entry_ids, workspace=strategies.sampled_from(WORKSPACES))
    def mint(self, at: str, workspace: str) -> None:
        entry = self.bench.entries_by_id[at]
        minter = entry.routing.requests.minter
        key = self.loop.run_until_complete(_mint(minter.mint, workspace))
        self.minted.append((key, workspace))

    @precondition(lambda machine: machine.minted)
    @rule(
        at=strategies.lists(entry_ids, min_size=1, max_size=3),
        number=strategies.integers(0, 7),
        fate=strategies.sampled_from(FATES),
        seconds=strategies.sampled_from(SECONDS),
    )
    def send_minted(
        self,
        at: list[str],
        number: int,
        fate: str,
        seconds: str,
    ) -> None:
        key, workspace = self.minted[-1 - number % len(self.minted)]
        self.dispatch(at, key, f'{fate}:{seconds}:'.encode(), workspace)

    @rule(seconds=strategies.sampled_from((0.05, 0.11, 0.5, 3, 20)))
    def wait(self, seconds: float) -> None:
        self.run_for(seconds)

    @rule(at=entry_ids)
    def replace_entry(self, at: str) -> None:
        self.bench.start_entry(at)

    @rule(at=entry_ids)
    def pause_or_wake(self, at: str) -> None:
        gate = self.bench.entries_by_id[at].gate
        if gate.is_set():
            gate.clear()
        else:
            gate.set()

    @rule()
    def switch_platform(self) -> None:
        faults = self.bench.platform.faults
        faults.is_down = not faults.is_down

    @rule(at=entry_ids)
    def cut_or_mend(self, at: str) -> None:
        self.bench.platform.faults.cut_parties ^= {at}

    @rule()
    def cut_or_mend_network(self) -> None:
        self.bench.is_network_cut = not self.bench.is_network_cut

    @rule(count=strategies.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.bench.platform.faults.lose_answers = count

    @rule(seconds=strategies.sampled_from((0, 0, 0.2, 3)))
    def slow_platform(self, seconds: float) -> None:
        self.bench.platform.faults.delay_s = seconds

    @rule(at=entry_ids)
    def callers_leave(self, at: str) -> None:
        for task in self.bench.entries_by_id[at].callers:
            task.cancel()

    def dispatch(
        self,
        at: list[str],
        key: str,
        body: bytes,
        workspace: str,
    ) -> None:
        async def _send_all() -> None:
            for node_id in at:
                call = self.bench.call(key, body, workspace)
                entry = self.bench.entries_by_id[node_id]
                self.bench.send(entry, call, self.judge(call))
            await asyncio.sleep(0)

        self.loop.run_until_complete(_send_all())

    def judge(self, call: ServiceCall) -> 'Judge':
        return Judge(self, call)


class Judge:
    """Compares what one caller received with what ran upstream."""

    def __init__(self, machine: OnceMachine, call: ServiceCall) -> None:
        self.machine = machine
        self.call = call

    def __call__(self, reply: Heard) -> None:
        call = self.call
        OnceMachine.heard_by_code[reply.code] += 1
        runs = self.machine.bench.upstream.runs_by_call
        if reply.code == 'ok':
            expected = answer_to(call.workspace, call.key, call.body)
            if b''.join(reply.parts) != expected:
                self.machine.faults.append(f'wrong answer to {call}')
        if reply.code in {'invariant_violation', 'run_failed'}:
            self.machine.faults.append(f'{reply.error} on {call}')
        if reply.says_not_run:
            self.machine.refused.add(call.request_id)
            if runs[call.workspace, call.key]:
                self.machine.faults.append(f'false "not run" of {call}')


async def _mint(mint: object, workspace: str) -> str:
    assert callable(mint)
    return str(mint(workspace))


def test_no_key_runs_twice_and_not_run_is_never_false() -> None:
    OnceMachine.TestCase.settings = settings(
        max_examples=RUNS,
        stateful_step_count=STEPS,
        phases=(Phase.generate, Phase.shrink)[:PHASES],
        derandomize='ONCE_FUZZ_RUNS' not in os.environ,
        database=None,
        deadline=None,
    )
    OnceMachine.TestCase('runTest').runTest()
    assert OnceMachine.steps_taken >= MIN_STEPS
    # The run proves little if it reached only few of the outcomes.
    assert OnceMachine.heard_by_code.keys() >= EXPECTED_CODES
