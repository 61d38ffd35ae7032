"""The drill ``bin/crash-drill``: crashes replicas under load.

Explanation
===========
All roles run over loopback sockets. Each question is first sent to a system
without faults; then callers repeat the questions while replicas crash in
the middle of their streams. Every answer must equal the first one byte by
byte, except for the request's id and creation time.
"""

import argparse
import asyncio
import random
import re
import sys
from collections import Counter
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import aiohttp
import orjson

from ..process.logs import configure_logs
from .common import EXIT_FAILED, EXIT_OK, run
from .crashes import Crasher, callers_urls, configure_local, drill_session
from .local import Local

QUESTIONS = 24
CALLERS = 30
CRASHES = 100
TOKENS = 100
PATHS = ('/v1/completions', '/v1/chat/completions')
_PROBLEM = re.compile(rb'"code":"(\w+)","ran"')
_OWN_FIELDS = re.compile(rb'"id":"[^"]*"|"created":\d+')


@dataclass(frozen=True, slots=True)
class Question:
    """One request of the drill."""

    index: int

    @property
    def path(self) -> str:
        """Return the path; completions and chats alternate."""
        return PATHS[self.index % len(PATHS)]

    @property
    def is_streamed(self) -> bool:
        """Return whether to stream; three of four requests do."""
        return self.index % 4 != 3

    @property
    def body(self) -> bytes:
        """Return the request's body."""
        text = f'question {self.index} on the last batch of the kiln'
        prompt_fields = (
            {'prompt': text}
            if self.path == PATHS[0]
            else {'messages': [{'role': 'user', 'content': text}]}
        )
        return orjson.dumps(
            {
                'model': 'ledger',
                'max_tokens': TOKENS,
                'stream': self.is_streamed,
                **prompt_fields,
            }
        )


@dataclass(slots=True)
class Drill:
    """Callers that compare each answer with that of a run without faults."""

    session: aiohttp.ClientSession
    urls: Sequence[str]
    rng: random.Random
    questions: Sequence[Question] = tuple(map(Question, range(QUESTIONS)))
    expected_by_index: dict[int, bytes] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)
    is_over: bool = False

    async def ask_undisturbed(self) -> None:
        """Record the expected answers while there are no faults."""
        answers = await asyncio.gather(*map(self._ask, self.questions))
        self.expected_by_index = dict(enumerate(answers))

    async def ask_until_over(self) -> None:
        """Send random questions until the drill is over."""
        while not self.is_over:
            question = self.rng.choice(self.questions)
            try:
                answer = await self._ask(question)
            except aiohttp.ClientError as error:
                self.outcomes[type(error).__name__] += 1
                continue
            self.outcomes[self._judge(question, answer)] += 1

    def _judge(self, question: Question, answer: bytes) -> str:
        if answer == self.expected_by_index[question.index]:
            return 'equal'
        problem = _PROBLEM.search(answer)
        return problem.group(1).decode() if problem else 'unequal'

    async def _ask(self, question: Question) -> bytes:
        url = self.rng.choice(self.urls)
        async with self.session.post(
            f'{url}{question.path}',
            data=question.body,
        ) as response:
            answer = await response.read()
        return _OWN_FIELDS.sub(b'', answer)


async def _drill(arguments: argparse.Namespace) -> int:
    async with AsyncExitStack() as stack:
        local = Local()
        await local.start()
        stack.push_async_callback(local.stop)
        session = await stack.enter_async_context(drill_session())
        await configure_local(session, local)
        rng = random.Random(arguments.seed)
        drill = Drill(session, callers_urls(local), rng)
        await drill.ask_undisturbed()
        crasher = Crasher(local, random.Random(arguments.seed))
        async with asyncio.TaskGroup() as callers:
            for _ in range(arguments.callers):
                callers.create_task(drill.ask_until_over())
            await crasher.crash_many(arguments.crashes)
            drill.is_over = True
        return _report(drill, crasher, local)


def _report(drill: Drill, crasher: Crasher, local: Local) -> int:
    retries = sum(
        entry.runtime.metrics.value('retries', code='upstream_lost')
        for entry in local.entries_by_domain.values()
    )
    report = {
        'crashes': crasher.crashes,
        'streams_cut': crasher.streams_cut,
        'answers': dict(drill.outcomes),
        'retries_after_loss': retries,
    }
    text = orjson.dumps(report).decode()
    sys.stdout.write(f'{text}\n')
    all_equal = set(drill.outcomes) == {'equal'}
    return EXIT_OK if all_equal else EXIT_FAILED


def main() -> None:
    """Run the drill."""
    parser = argparse.ArgumentParser(prog='bin/crash-drill')
    parser.add_argument('--crashes', type=int, default=CRASHES)
    parser.add_argument('--callers', type=int, default=CALLERS)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    configure_logs('ERROR', as_json=False)
    sys.exit(run(_drill(arguments)))


if __name__ == '__main__':
    main()
