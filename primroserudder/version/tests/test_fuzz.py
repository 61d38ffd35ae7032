"""Stateful fuzzing of configuration versions against a simple model.

Explanation
===========
Each document contains its submission id, so that the model can map a node's
version to its submission. The model records only the results that the
submitters received.
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
# In most runs the two reads succeed, so that the writes fail.
FAULTS = st.one_of(
    st.just(()),
    _ANY_FAULTS,
    _ANY_FAULTS.map(lambda faults: (Fault.NONE, Fault.NONE, *faults)),
)
STEPS = int(os.environ.get('CONFIG_FUZZ_STEPS', '25'))
EXAMPLES = int(os.environ.get('CONFIG_FUZZ_EXAMPLES', '60'))

_Result = TypeVar('_Result')


def _submission_of(version: Version) -> str:
    workspaces = json.loads(version.body).get('workspaces', {})
    return next(iter(workspaces), '')


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent submissions under platform faults and node replacement."""

    def __init__(self) -> None:
        """Create a site without any version."""
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=looptime.new_event_loop)
        self.site = VersionSite()
        self.submission_ids = (f's{index}' for index in itertools.count())
        self.number_by_submission: dict[str, int] = {}
        self.rejected: set[str] = set()
        self.unresolved: dict[str, int] = {}
        self.highest_seen: dict[str, int] = {}
        self.digests_by_number: dict[int, str] = {}

    @initialize()
    def start(self) -> None:
        """Start the nodes; the delay makes operations interleave."""
        self.site.memory.faults.delay_s = 0.01
        for name in NODES:
            self.site.start(name)

    @rule(node=NODE, faults=FAULTS)
    def submit(self, node: str, faults: Sequence[Fault]) -> None:
        """Submit a change based on the version in force at a node."""
        site_node = self.site.by_id[node]
        site_node.platform.fail(faults)
        base = site_node.holder.current.number
        self._run(self._submit(node, next(self.submission_ids), base))

    @rule(
        first_node=NODE, second_node=NODE, faults=FAULTS, is_same=st.booleans()
    )
    def submit_concurrently(
        self,
        first_node: str,
        second_node: str,
        faults: Sequence[Fault],
        is_same: bool,
    ) -> None:
        """Submit one change twice, or two changes of one base, at once."""
        site_node = self.site.by_id[first_node]
        site_node.platform.fail(faults)
        base = site_node.holder.current.number
        first = next(self.submission_ids)
        second = first if is_same else next(self.submission_ids)

        async def both() -> None:
            await asyncio.gather(
                self._submit(first_node, first, base),
                self._submit(second_node, second, base),
            )

        self._run(both())

    @rule(node=NODE, faults=FAULTS)
    def retry_unresolved(self, node: str, faults: Sequence[Fault]) -> None:
        """Retry the submissions whose outcome is unknown."""
        self.site.by_id[node].platform.fail(faults)
        for submission, base in tuple(self.unresolved.items()):
            self._run(self._submit(node, submission, base))

    @rule(node=NODE, is_down=st.booleans())
    def poll(self, node: str, is_down: bool) -> None:
        """Poll at a node, with the platform up or down."""
        self.site.by_id[node].platform.is_down = is_down
        self._run(self._ignore_errors(self.site.by_id[node].distributor.poll()))
        self.site.by_id[node].platform.is_down = False

    @rule(first_node=NODE, second_node=NODE)
    def exchange(self, first_node: str, second_node: str) -> None:
        """Exchange versions between a node and a peer."""
        self._run(
            self._ignore_errors(self.site.exchange(first_node, second_node))
        )

    @rule(node=NODE)
    def replace(self, node: str) -> None:
        """Replace a node by one that holds no version."""
        self._run(self.site.by_id[node].platform.settle())
        self.site.start(node)
        self.highest_seen.pop(node, None)

    @invariant()
    def versions_never_decrease(self) -> None:
        """Check each node's version against the submitters' results."""
        for name, node in self.site.by_id.items():
            version = node.holder.current
            assert version.number >= self.highest_seen.get(name, 0)
            self.highest_seen[name] = version.number
            digest = self.digests_by_number.setdefault(
                version.number, version.digest
            )
            assert digest == version.digest
            submission = _submission_of(version)
            assert submission not in self.rejected
            accepted_number = self.number_by_submission.get(
                submission, version.number
            )
            assert accepted_number == version.number

    def teardown(self) -> None:
        """Clear the faults and check that the history has all accepted ids."""
        self._run(self._settle())
        self.versions_never_decrease()
        assert self.site.numbers() == {len(self.history)}
        for submission, number in self.number_by_submission.items():
            assert self.history[number] == submission
        assert not self.rejected & set(self.history.values())
        self.runner.close()

    async def _settle(self) -> None:
        for node in self.site.by_id.values():
            node.platform.fail(())
            await node.platform.settle()
        for node_id in NODES:
            await self.site.start(node_id).distributor.poll()
            self.highest_seen.pop(node_id, None)
        accepted_versions = await self.site.by_id['a'].store.history(1000)
        self.history = {
            accepted.number: accepted.submission
            for accepted in accepted_versions
        }

    async def _submit(self, node: str, submission: str, base: int) -> None:
        site_node = self.site.by_id[node]
        body = builders.document_body(workspaces={submission: {}})
        try:
            version = await site_node.store.submit(body, base, submission)
        except VersionConflict:
            self._record_rejection(submission)
        except (SubmissionUnknown, PlatformUnavailable):
            self.unresolved[submission] = base
        else:
            assert self.number_by_submission.get(
                submission, version.number
            ) == (version.number)
            self.number_by_submission[submission] = version.number
            self.unresolved.pop(submission, None)
            site_node.holder.offer(version)

    def _record_rejection(self, submission: str) -> None:
        assert submission not in self.number_by_submission
        self.rejected.add(submission)
        self.unresolved.pop(submission, None)

    async def _ignore_errors(self, step: Coroutine[None, None, None]) -> None:
        try:
            await step
        except RudderError:
            return

    def _run(self, step: Coroutine[None, None, _Result]) -> _Result:
        return self.runner.run(step)


ConfigurationMachine.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=True,
)
TestConfiguration = ConfigurationMachine.TestCase
