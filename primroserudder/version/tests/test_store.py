"""Tests of submission and acceptance of versions."""

import asyncio
import itertools
from collections.abc import Sequence

import pytest

from ...process.platform import PlatformUnavailable
from ...standins.memory import MemoryPlatform
from ...testing import builders
from ...testing.faulty import Fault, FaultyPlatform
from .. import store as store_module
from ..holder import VersionHolder, body_digest
from ..store import (
    SubmissionReused,
    SubmissionUnknown,
    VersionConflict,
    VersionStore,
)

BODY = builders.document_body()
OTHER_BODY = builders.document_body(workspaces={})
# Without a fault the head and the submission are read, then the body is
# stored and the transaction committed.
READS_PASS = (Fault.NONE, Fault.NONE)
BEFORE_COMMIT = (*READS_PASS, Fault.NONE)
_WRITE_FAULTS = itertools.product(Fault, repeat=5)
_FAULT_SCRIPTS = (
    *itertools.product(Fault, repeat=2),
    *((*READS_PASS, *writes) for writes in _WRITE_FAULTS),
)


async def _submit(store: VersionStore) -> int | None:
    """Return the version, or ``None`` if the submission is rejected."""
    try:
        return (await store.submit(BODY, 0, 'first')).number
    except PlatformUnavailable:
        return None
    except SubmissionUnknown:
        return (await store.submit(BODY, 0, 'first')).number


def _outage(operations: int) -> Sequence[Fault]:
    return list(itertools.repeat(Fault.DOWN, operations))


@pytest.mark.looptime
async def test_second_change_of_the_same_base_conflicts() -> None:
    store = VersionStore(MemoryPlatform())
    await store.submit(BODY, 0, 'first')
    with pytest.raises(VersionConflict):
        await store.submit(BODY, 0, 'second')
    assert (await store.read_head()).number == 1


@pytest.mark.looptime
async def test_one_of_two_concurrent_changes_is_accepted() -> None:
    memory = MemoryPlatform()
    memory.faults.delay_s = 0.01
    store = VersionStore(memory)
    outcomes = await asyncio.gather(
        store.submit(BODY, 0, 'first'),
        store.submit(OTHER_BODY, 0, 'second'),
        return_exceptions=True,
    )
    kinds = sorted(type(outcome).__name__ for outcome in outcomes)
    assert kinds == ['Version', 'VersionConflict']
    assert len(await store.history(5)) == 1


@pytest.mark.looptime
async def test_result_is_correct_under_all_platform_faults() -> None:
    for script in _FAULT_SCRIPTS:
        memory = MemoryPlatform()
        platform = FaultyPlatform(memory, list(script))
        store = VersionStore(platform)
        number = await _submit(store)
        platform.fail(())
        await platform.settle()
        accepted = await store.find_submission('first')
        stored_number = None if accepted is None else accepted.number
        assert stored_number == number, script
        assert (await store.read_head()).number == (number or 0), script


@pytest.mark.looptime
async def test_lost_responses_of_all_attempts_raise_submission_unknown() -> (
    None
):
    platform = FaultyPlatform(MemoryPlatform())
    store = VersionStore(platform)
    platform.fail((*BEFORE_COMMIT, Fault.LATE, *_outage(8)))
    with pytest.raises(SubmissionUnknown):
        await store.submit(BODY, 0, 'first')
    platform.fail(())
    assert (await store.submit(BODY, 0, 'first')).number == 1


@pytest.mark.looptime
async def test_unreadable_row_after_a_conflict_raises_submission_unknown() -> (
    None
):
    platform = FaultyPlatform(MemoryPlatform())
    store = VersionStore(platform)
    platform.fail((*BEFORE_COMMIT, Fault.LOST, Fault.NONE, *_outage(5)))
    with pytest.raises(SubmissionUnknown):
        await store.submit(BODY, 0, 'first')
    accepted = await store.find_submission('first')
    assert accepted is not None
    assert accepted.number == 1


@pytest.mark.looptime
async def test_repeated_submission_is_accepted_once() -> None:
    store = VersionStore(MemoryPlatform())
    assert (await store.submit(BODY, 0, 'first')).number == 1
    assert (await store.submit(BODY, 0, 'first')).number == 1
    assert (await store.read_head()).number == 1


async def test_submission_id_cannot_be_reused_for_another_document() -> None:
    store = VersionStore(MemoryPlatform())
    await store.submit(BODY, 0, 'first')
    with pytest.raises(SubmissionReused):
        await store.submit(OTHER_BODY, 1, 'first')
    assert (await store.read_head()).digest == body_digest(BODY)


async def test_history_is_newest_first_and_old_rows_are_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, 'HISTORY_VERSIONS', 3)
    memory = MemoryPlatform()
    store = VersionStore(memory)
    for base in range(5):
        await store.submit(BODY, base, f's{base}')
    history = await store.history(10)
    names: Sequence[str] = [accepted.submission for accepted in history]
    assert names == ['s4', 's3', 's2']
    # The head, three history rows and three submission rows remain.
    assert len(memory.rows_by_key) == 7


def test_version_in_force_never_reverts() -> None:
    holder = VersionHolder()
    assert holder.offer(builders.version(9))
    assert not holder.offer(builders.version(7))
    assert holder.current.number == 9
