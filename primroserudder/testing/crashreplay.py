"""The ``bin/crash-replay`` program: requests under crashes, in virtual time.

Explanation
===========
Callers send requests whose prompts share parts; engines end under one of the
parts. The routers' own quarantines, notices and rows of the store decide what
still runs. A table shows how late a part is stopped, and how many sound
requests are refused for it.
"""

import argparse
import asyncio
import itertools
import random
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

from ..fleet.attempt import AttemptResult
from ..fleet.call import Call
from ..fleet.crashes.quarantine import Quarantined
from ..fleet.retries import Ending
from .crashengines import ModelEngine, RunEnding
from .crashfaults import play_fault
from .crashoutcome import (
    MAX_LATE_SENDS,
    MIN_BEGUN_RATIO,
    CrashOutcome,
    SoundEnding,
)
from .crashpatterns import (
    MASS_ENDS,
    PATTERNS,
    PATTERNS_BY_NAME,
    CrashPattern,
)
from .crashrequests import CrashRequest, draw_requests
from .crashsite import CrashSite, ModelVm, entries_of
from .virtualtime import run_virtually

SITES = (1, 2, 7, 86, 195)
ENGINES_BY_VMS = MappingProxyType({86: 48, 195: 96})
ENGINES = 24
LOSS = 0.02
MAX_RUNS = 2
RETRY_PAUSE_S = 0.02
WAIT_STEP_S = 0.025
FIRST_WAIT_S = 0.25
# A VM notices a broken connection within this time.
NOTICE_BREAK_S = 0.01
REPEAT_PAUSE_S = (0.3, 1.5)
MEASURE_INTERVAL_S = 1.0
WHOLE = AttemptResult(Ending.DELIVERED, '200')
BROKEN = AttemptResult(Ending.CUT, 'reset', may_have_crashed=True)
COLUMNS = (
    ('crashes', 8),
    ('late', 6),
    ('last s', 8),
    ('sound', 8),
    ('refused', 9),
    ('beside', 8),
    ('until s', 9),
    ('ratio', 7),
    ('entries', 9),
    ('bytes/s', 9),
    ('took s', 8),
)
NAME_WIDTH = 22


@dataclass(slots=True)
class CrashReplay:
    """Sends requests through VMs to engines, and notes how they ended."""

    site: CrashSite
    pattern: CrashPattern
    rng: random.Random
    outcome: CrashOutcome = field(default_factory=CrashOutcome)

    async def play(self, requests: Sequence[CrashRequest]) -> CrashOutcome:
        """Send all requests and return what was seen."""
        self.outcome.trouble_at_s = _trouble_at_s(self.pattern, requests)
        background = [
            asyncio.ensure_future(self.site.share_notices()),
            asyncio.ensure_future(self._measure()),
            *(
                asyncio.ensure_future(play_fault(self.site, fault))
                for fault in self.pattern.faults
            ),
        ]
        loop = asyncio.get_running_loop()
        sending = []
        for request in requests:
            await asyncio.sleep(request.at_s - loop.time())
            sending.append(asyncio.ensure_future(self._send(request)))
        await asyncio.gather(*sending)
        self._note_traffic()
        for task in background:
            task.cancel()
        for vm in self.site.vms:
            vm.stop()
        return self.outcome

    async def _measure(self) -> None:
        while True:
            await asyncio.sleep(MEASURE_INTERVAL_S)
            entries = entries_of(self.site.vms)
            self.outcome.entries = max(self.outcome.entries, entries)

    def _note_traffic(self) -> None:
        elapsed_s = asyncio.get_running_loop().time()
        sent = self.site.network.sent_bytes.values()
        self.outcome.sent_bytes_per_s = max(sent, default=0) / elapsed_s

    async def _send(self, request: CrashRequest) -> None:
        """Send a request, and once more as a caller would."""
        if request.crashes:
            self.outcome.crashing.append(request)
        is_answered = await self._serve(request)
        must_end = self.rng.random() >= self.pattern.repeat_share
        if is_answered or must_end or request.is_repeat:
            return
        await asyncio.sleep(self.rng.uniform(*REPEAT_PAUSE_S))
        now = asyncio.get_running_loop().time()
        vm = self.rng.randrange(len(self.site.vms))
        await self._send(request.repeated(now, vm))

    async def _serve(self, request: CrashRequest) -> bool:
        """Serve a request; return whether its caller got a whole answer."""
        vm = self.site.vms[request.vm]
        call = request.call()
        endings: list[RunEnding] = []
        try:
            await self._try_to_serve(vm, call, request, endings)
        except Quarantined:
            self._note_sound(request, endings, is_refused=True)
        else:
            self._note_sound(request, endings, is_refused=False)
        return RunEnding.WHOLE in endings

    async def _try_to_serve(
        self,
        vm: ModelVm,
        call: Call,
        request: CrashRequest,
        endings: list[RunEnding],
    ) -> None:
        """Run a request until it is answered, as the router does."""
        vm.quarantine.check(call)
        while len(endings) < MAX_RUNS and RunEnding.WHOLE not in endings:
            engine = await self._acquire(call, request, bool(endings))
            if engine is None:
                return
            vm.quarantine.check(call)
            vm.quarantine.note_send(call, engine.target())
            endings.append(await self._run(vm, call, request, engine))
            if endings[-1] is RunEnding.BROKEN:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _acquire(
        self, call: Call, request: CrashRequest, has_run: bool
    ) -> ModelEngine | None:
        loop = asyncio.get_running_loop()
        until = call.deadline_at if has_run else loop.time() + FIRST_WAIT_S
        while True:
            engine = self.site.choose(request.parts[0], self.pattern.affinity)
            if engine is not None or loop.time() >= until:
                return engine
            await asyncio.sleep(WAIT_STEP_S)

    async def _run(
        self,
        vm: ModelVm,
        call: Call,
        request: CrashRequest,
        engine: ModelEngine,
    ) -> RunEnding:
        loop = asyncio.get_running_loop()
        target = engine.target()
        run: asyncio.Future[RunEnding] = loop.create_future()
        engine.runs[run] = None
        prompt_s = self.rng.uniform(*self.pattern.prompt_s)
        if request.crashes:
            self.outcome.sends_by_part[request.crashes].append(loop.time())
            begin = loop.call_later(prompt_s, self._crash, engine, request, run)
        else:
            begin = loop.call_later(prompt_s + request.run_s, _finish, run)
        ending = await run
        begin.cancel()
        engine.runs.pop(run)
        if ending is RunEnding.BROKEN:
            await asyncio.sleep(self.rng.uniform(0, NOTICE_BREAK_S))
        outcome = WHOLE if ending is RunEnding.WHOLE else BROKEN
        vm.quarantine.note_outcome(call, target, outcome)
        return ending

    def _crash(
        self,
        engine: ModelEngine,
        request: CrashRequest,
        run: 'asyncio.Future[RunEnding]',
    ) -> None:
        """End the engine under a request that still runs on it."""
        if run.done():
            return
        now = asyncio.get_running_loop().time()
        self.outcome.crashes_by_part[request.crashes].append(now)
        engine.end(self.pattern.repair_s)

    def _note_sound(
        self,
        request: CrashRequest,
        runs: Sequence[RunEnding],
        *,
        is_refused: bool,
    ) -> None:
        if request.crashes or request.is_repeat:
            return
        now = asyncio.get_running_loop().time()
        refused_at = now if is_refused else None
        self.outcome.sound.append(SoundEnding(request, bool(runs), refused_at))


def replay(
    pattern: CrashPattern, vms: int, seed: int, engines: int = 0
) -> CrashOutcome:
    """Replay a pattern with a number of VMs, and of engines if given."""
    used = engines or ENGINES_BY_VMS.get(vms, ENGINES)
    return run_virtually(_replay(pattern, vms, used, seed))


async def _replay(
    pattern: CrashPattern, vms: int, engines: int, seed: int
) -> CrashOutcome:
    rng = random.Random(seed)
    site = CrashSite(vms, engines, LOSS, rng)
    requests = draw_requests(pattern, vms, engines, seed)
    return await CrashReplay(site, pattern, rng).play(requests)


def _finish(run: 'asyncio.Future[RunEnding]') -> None:
    if not run.done():
        run.set_result(RunEnding.WHOLE)


def _trouble_at_s(
    pattern: CrashPattern, requests: Sequence[CrashRequest]
) -> float:
    """Return when the first crashing request comes, or the first fault."""
    crashing = [request.at_s for request in requests if request.crashes]
    faults = [fault.at_s for fault in pattern.faults]
    return min(crashing or faults)


def main() -> int:
    """Print a table; return 1 if a bound is broken."""
    arguments = _parser().parse_args()
    _write('pattern', 'VMs', [name for name, _ in COLUMNS])
    patterns = [
        pattern
        for pattern in (*PATTERNS, *MASS_ENDS)
        if arguments.pattern in {'all', pattern.name}
    ]
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    runs = itertools.product(patterns, arguments.vms, seeds)
    broken = [_print_outcome(pattern, *run) for pattern, *run in runs]
    return 1 if any(broken) else 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='bin/crash-replay',
        description='Replays requests that crash engines, in virtual time.',
    )
    parser.add_argument(
        '--pattern', choices=['all', *PATTERNS_BY_NAME], default='all'
    )
    parser.add_argument('--vms', type=int, nargs='+', default=SITES)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1, help='how many seeds')
    return parser


def _print_outcome(pattern: CrashPattern, vms: int, seed: int) -> bool:
    """Print a row; return whether a bound is broken."""
    began_at = time.perf_counter()
    outcome = replay(pattern, vms, seed)
    took_s = time.perf_counter() - began_at
    affected = outcome.affected()
    beside = [ending for ending in outcome.refused() if ending in affected]
    cells = [
        f'{outcome.crashes()}',
        f'{outcome.late_sends()}',
        f'{outcome.last_send_s():.1f}',
        f'{len(outcome.sound)}',
        f'{len(outcome.refused())}',
        f'{len(beside)}',
        f'{outcome.last_refusal_s():.1f}',
        f'{outcome.begun_ratio():.2f}',
        f'{outcome.entries}',
        f'{outcome.sent_bytes_per_s:.0f}',
        f'{took_s:.1f}',
    ]
    _write(f'{pattern.name} #{seed}', f'{vms}', cells)
    is_late = outcome.late_sends() > MAX_LATE_SENDS
    return is_late or outcome.begun_ratio() < MIN_BEGUN_RATIO


def _write(name: str, vms: str, cells: Sequence[str]) -> None:
    widths = [width for _, width in COLUMNS]
    row = ''.join(
        cell.rjust(width) for cell, width in zip(cells, widths, strict=True)
    )
    sys.stdout.write(f'{name.ljust(NAME_WIDTH)}{vms.rjust(4)}{row}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
