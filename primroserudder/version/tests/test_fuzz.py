"""Stateful fuzzing of the configuration against a simple oracle.

Explanation
===========
Each document names its submission, so that the oracle can tell from a
node's version which submission it came from. The oracle keeps only what the
submitters were told.
"""

import asyncio
import itertools
import json
import os
from collections.abc import Coroutine, Sequence
from typing import TypeVar

import looptime
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ...errors import RudderError
from ...process.platform import PlatformUnavailable
from ...testing import builders
from ...testing.faulty import Fault
from ...testing.sites import VersionSite
from ..holder import Version
from ..store import SubmissionUnknown, VersionConflict

NODES = ('a', 'b', 'c')
NODE = st.sampled_from(NODES)
_ANY_FAULTS = st.lists(st.sampled_from(Fault), max_size=6)
# As a rule the two reads pass, so that the writes are what fails.
FAULTS = st.one_of(
    st.just(()),
    _ANY_FAULTS,
    _ANY_FAULTS.map(lambda faults: (Fault.NONE, Fault.NONE, *faults)),
)
STEPS = int(os.environ.get('CONFIG_FUZZ_STEPS', '25'))
EXAMPLES = int(os.environ.get('CONFIG_FUZZ_EXAMPLES', '60'))

_Found = TypeVar('_Found')


def _submission_of(version: Version) -> str:
    workspaces = json.loads(version.body).get('workspaces', {})
    return next(iter(workspaces), '')


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators race while the platform fails and nodes are replaced."""

    def __init__(self) -> None:
        """Begin without any version."""
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=looptime.new_event_loop)
        self.site = VersionSite()
        self.ids = (f's{index}' for index in itertools.count())
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.open: dict[str, int] = {}
        self.seen: dict[str, int] = {}
        self.digests: dict[int, str] = {}

    @initialize()
    def start(self) -> None:
        """Start the nodes; the delay lets operations interleave."""
        self.site.memory.faults.delay_s = 0.01
        for name in NODES:
            self.site.start(name)

    @rule(node=NODE, faults=FAULTS)
    def submit(self, node: str, faults: Sequence[Fault]) -> None:
        """Submit a change of the version in force at a node."""
        here = self.site.by_id[node]
        here.platform.fail(faults)
        base = here.holder.current.number
        self._run(self._submit(node, next(self.ids), base))

    @rule(one=NODE, other=NODE, faults=FAULTS, is_same=st.booleans())
    def race(
        self,
        one: str,
        other: str,
        faults: Sequence[Fault],
        is_same: bool,
    ) -> None:
        """Submit twice at once, the same change or two of one base."""
        here = self.site.by_id[one]
        here.platform.fail(faults)
        base = here.holder.current.number
        first = next(self.ids)
        second = first if is_same else next(self.ids)

        async def both() -> None:
            await asyncio.gather(
                self._submit(one, first, base),
                self._submit(other, second, base),
            )

        self._run(both())

    @rule(node=NODE, faults=FAULTS)
    def ask_again(self, node: str, faults: Sequence[Fault]) -> None:
        """Repeat the submissions whose outcome is not known."""
        self.site.by_id[node].platform.fail(faults)
        for submission, base in tuple(self.open.items()):
            self._run(self._submit(node, submission, base))

    @rule(node=NODE, is_down=st.booleans())
    def poll(self, node: str, is_down: bool) -> None:
        """Let a node poll, with or without the platform."""
        self.site.by_id[node].platform.is_down = is_down
        self._run(self._ignoring(self.site.by_id[node].distributor.poll()))
        self.site.by_id[node].platform.is_down = False

    @rule(one=NODE, other=NODE)
    def exchange(self, one: str, other: str) -> None:
        """Let a node hear a peer."""
        self._run(self._ignoring(self.site.exchange(one, other)))

    @rule(node=NODE)
    def replace(self, node: str) -> None:
        """Replace a node by one that knows nothing."""
        self._run(self.site.by_id[node].platform.settle())
        self.site.start(node)
        self.seen.pop(node, None)

    @invariant()
    def versions_only_rise(self) -> None:
        """Check each node's version against what was told."""
        for name, node in self.site.by_id.items():
            version = node.holder.current
            assert version.number >= self.seen.get(name, 0)
            self.seen[name] = version.number
            known = self.digests.setdefault(version.number, version.digest)
            assert known == version.digest
            submission = _submission_of(version)
            assert submission not in self.refused
            told = self.accepted.get(submission, version.number)
            assert told == version.number

    def teardown(self) -> None:
        """End all faults; everything accepted is then in the history."""
        self._run(self._settle())
        self.versions_only_rise()
        assert self.site.numbers() == {len(self.history)}
        for submission, number in self.accepted.items():
            assert self.history[number] == submission
        assert not self.refused & set(self.history.values())
        self.runner.close()

    async def _settle(self) -> None:
        for node in self.site.by_id.values():
            node.platform.fail(())
            await node.platform.settle()
        for restarted in NODES:
            await self.site.start(restarted).distributor.poll()
            self.seen.pop(restarted, None)
        listed = await self.site.by_id['a'].store.history(1000)
        self.history = {one.number: one.submission for one in listed}

    async def _submit(self, node: str, submission: str, base: int) -> None:
        here = self.site.by_id[node]
        body = builders.document_body(workspaces={submission: {}})
        try:
            version = await here.store.submit(body, base, submission)
        except VersionConflict:
            self._note_refusal(submission)
        except (SubmissionUnknown, PlatformUnavailable):
            self.open[submission] = base
        else:
            assert self.accepted.get(submission, version.number) == (
                version.number
            )
            self.accepted[submission] = version.number
            self.open.pop(submission, None)
            here.holder.offer(version)

    def _note_refusal(self, submission: str) -> None:
        assert submission not in self.accepted
        self.refused.add(submission)
        self.open.pop(submission, None)

    async def _ignoring(self, step: Coroutine[None, None, None]) -> None:
        try:
            await step
        except RudderError:
            return

    def _run(self, step: Coroutine[None, None, _Found]) -> _Found:
        return self.runner.run(step)


ConfigurationMachine.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=True,
)
TestConfiguration = ConfigurationMachine.TestCase
