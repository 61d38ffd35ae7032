"""Tests of the acceptance of versions."""

import pytest

from ...standins.memory import MemoryPlatform
from ...testing import builders
from ..holder import VersionHolder
from ..store import VersionConflict, VersionStore

BODY = builders.document_body()


async def test_second_change_of_one_base_hears_of_the_conflict() -> None:
    store = VersionStore(MemoryPlatform())
    await store.submit(BODY, 0, 'first')
    with pytest.raises(VersionConflict):
        await store.submit(BODY, 0, 'second')
    assert (await store.read_head()).number == 1


async def test_lost_answer_is_settled_by_reading_back() -> None:
    platform = MemoryPlatform()
    store = VersionStore(platform)
    # The object's and the commit's answers are lost in turn.
    await store.submit(BODY, 0, 'first')
    await platform.put_object('config/warm', b'')
    platform.faults.lose_answers = 1
    with pytest.raises(Exception, match='lost'):
        await store.submit(BODY, 1, 'second')
    assert (await store.submit(BODY, 1, 'second')).number == 2


async def test_repeated_submission_is_accepted_once() -> None:
    store = VersionStore(MemoryPlatform())
    assert (await store.submit(BODY, 0, 'first')).number == 1
    assert (await store.submit(BODY, 0, 'first')).number == 1
    assert (await store.read_head()).number == 1


def test_version_in_force_never_reverts() -> None:
    holder = VersionHolder()
    assert holder.offer(builders.version(9))
    assert not holder.offer(builders.version(7))
    assert holder.current.number == 9
