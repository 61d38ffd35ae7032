"""The drill ``bin/killer-drill``: a request that crashes its replica.

Explanation
===========
All roles run over loopback sockets, with harmless requests in flight all the
time. The crashing request is sent to all entries in turn, or to all at once,
each time with another user id.
"""

import argparse
import asyncio
import itertools
import sys
from collections import Counter
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import aiohttp
import orjson

from ..process.logs import configure_logs
from .common import EXIT_FAILED, EXIT_OK, run
from .crashes import Repair, callers_urls, configure_local, drill_session
from .local import Local

KILLER = 'a prompt that no engine survives'
HARMLESS_CALLERS = 24
QUESTIONS = 96
TOKENS = 60
REPEATS = 50
REPEAT_PAUSE_S = 0.1
MAX_LOST_IN_TURN = 2
MAX_LOST_AT_ONCE = 3


@dataclass(slots=True)
class KillerDrill:
    """Callers, one of which sends a request that crashes its replica."""

    session: aiohttp.ClientSession
    urls: Sequence[str]
    innocent_codes: Counter[str] = field(default_factory=Counter)
    killer_codes: Counter[str] = field(default_factory=Counter)
    is_over: bool = False

    async def ask_innocently(self, index: int) -> None:
        """Send harmless requests until the drill is over."""
        for turn in itertools.count(index):
            if self.is_over:
                break
            question = turn % QUESTIONS
            code = await self._ask(turn, f'harmless question {question}')
            self.innocent_codes[code] += 1

    async def kill_in_turn(self) -> None:
        """Send the crashing request to all entries in turn."""
        for turn in range(REPEATS):
            self.killer_codes[await self._ask(turn, KILLER)] += 1
            await asyncio.sleep(REPEAT_PAUSE_S)

    async def kill_at_once(self) -> None:
        """Send the crashing request to all entries at the same time."""
        turns = range(len(self.urls))
        codes = await asyncio.gather(
            *(self._ask(turn, KILLER) for turn in turns),
        )
        self.killer_codes.update(codes)

    async def _ask(self, turn: int, prompt: str) -> str:
        body = {
            'model': 'ledger',
            'prompt': prompt,
            'max_tokens': TOKENS,
            'stream': True,
            'user': f'user-{turn}',
        }
        url = self.urls[turn % len(self.urls)]
        async with self.session.post(
            f'{url}/v1/completions',
            json=body,
        ) as response:
            answer = await response.read()
        if answer.endswith(b'data: [DONE]\n\n'):
            return 'ok'
        problem = orjson.loads(answer.rpartition(b'data: ')[2])
        return str(problem['code'])


async def _drill(arguments: argparse.Namespace) -> int:
    async with AsyncExitStack() as stack:
        local = Local()
        await local.start()
        stack.push_async_callback(local.stop)
        session = await stack.enter_async_context(drill_session())
        await configure_local(session, local)
        for engine in local.standins.engines_by_vm.values():
            engine.faults.crash_on = KILLER
        drill = KillerDrill(session, callers_urls(local))
        stack.callback(asyncio.create_task(Repair(local).run()).cancel)
        async with asyncio.TaskGroup() as innocents:
            for index in range(HARMLESS_CALLERS):
                innocents.create_task(drill.ask_innocently(index))
            await asyncio.sleep(1)
            if arguments.at_once:
                await drill.kill_at_once()
            await drill.kill_in_turn()
            drill.is_over = True
        return _report(drill, local, at_once=arguments.at_once)


def _report(drill: KillerDrill, local: Local, *, at_once: bool) -> int:
    engines = local.standins.engines_by_vm.values()
    lost = sum(engine.starts - 1 for engine in engines)
    report = {
        'replicas_lost': lost,
        'killer': dict(drill.killer_codes),
        'innocent': dict(drill.innocent_codes),
    }
    text = orjson.dumps(report).decode()
    sys.stdout.write(f'{text}\n')
    max_lost = MAX_LOST_AT_ONCE if at_once else MAX_LOST_IN_TURN
    has_passed = lost <= max_lost and set(drill.innocent_codes) == {'ok'}
    return EXIT_OK if has_passed else EXIT_FAILED


def main() -> None:
    """Run the drill."""
    parser = argparse.ArgumentParser(prog='bin/killer-drill')
    parser.add_argument(
        '--at-once',
        action='store_true',
        help='send it to all entries at once before sending it in turn',
    )
    arguments = parser.parse_args()
    configure_logs('ERROR', as_json=False)
    sys.exit(run(_drill(arguments)))


if __name__ == '__main__':
    main()
