"""Tests of requests with an idempotency key under faults, in virtual time."""

import asyncio
import random

import pytest

from ...errors import Ran
from ...process.clock import LoopClock
from ...process.keysweep import EPOCH_S, KEPT_EPOCHS, KeyEpochs, KeySweeper
from ...process.metrics import Metrics
from ...process.platform import Conflict
from ...standins.memory import MemoryPlatform
from ...testing.keyedbench import BenchEntry, KeyedBench
from ..answer import MAX_QUEUED_PARTS, Delivery
from ..keybatch import BatchWriter, RowWrite
from ..keyed import MAX_KEPT_ANSWER_BYTES
from ..keyrecord import KEY_PREFIX
from ..mintedkey import MINTED_KEY_LIFETIME_S

pytestmark = pytest.mark.looptime

SLOW_BODY = b'ok:30:text'
NEXT_BODY = b'ok:0:next'
UNREACHABLE_BODY = b'unreachable:0:text'


def _two_entries() -> tuple[KeyedBench, BenchEntry, BenchEntry]:
    bench = KeyedBench()
    return bench, bench.start_entry('entry-1'), bench.start_entry('entry-2')


async def test_repeat_at_another_entry_gets_the_first_answer() -> None:
    bench, entry_1, entry_2 = _two_entries()
    first = await bench.ask(entry_1, bench.call('k'))
    await asyncio.sleep(1)
    repeat = await bench.ask(entry_2, bench.call('k'))
    assert (first.code, first.parts) == ('ok', repeat.parts)
    assert bench.upstream.runs_by_call == {('yard', 'k'): 1}


async def test_same_key_at_two_entries_at_once_runs_once() -> None:
    bench, entry_1, entry_2 = _two_entries()
    call = bench.call('k', b'ok:1:text')
    replies = await asyncio.gather(
        bench.ask(entry_1, call), bench.ask(entry_2, call)
    )
    assert sorted(reply.code for reply in replies) == ['key_in_progress', 'ok']
    errors = [reply.error for reply in replies if reply.error is not None]
    assert errors[0].retry_after


async def test_repeat_in_progress_is_refused_at_once() -> None:
    bench, entry_1, _ = _two_entries()
    bench.send(entry_1, bench.call('k', SLOW_BODY), lambda reply: None)
    await asyncio.sleep(1)
    before = asyncio.get_running_loop().time()
    assert (await bench.ask(entry_1, bench.call('k', SLOW_BODY))).code == (
        'key_in_progress'
    )
    assert asyncio.get_running_loop().time() == before


async def test_attempt_of_a_replaced_entry_may_have_run() -> None:
    bench, entry_1, entry_2 = _two_entries()
    bench.send(entry_1, bench.call('k', SLOW_BODY), lambda reply: None)
    await asyncio.sleep(1)
    replaced = bench.start_entry('entry-1')
    for entry in (replaced, entry_2):
        reply = await bench.ask(entry, bench.call('k', SLOW_BODY))
        assert reply.code == 'may_have_run'
        assert not reply.says_not_run
    assert bench.upstream.runs_by_call == {('yard', 'k'): 1}


@pytest.mark.parametrize('workspace', ['yard', 'depot'])
async def test_key_of_another_request_is_refused_without_its_answer(
    workspace: str,
) -> None:
    bench, entry_1, entry_2 = _two_entries()
    await bench.ask(entry_1, bench.call('k'))
    await asyncio.sleep(1)
    reply = await bench.ask(entry_2, bench.call('k', b'ok:0:mine', workspace))
    # Each workspace has its own keys, so only 'yard' has used the key.
    expected = {
        'yard': ('key_reused', []),
        'depot': ('ok', [b'depot|k|ok:0:mine']),
    }
    assert (reply.code, reply.parts) == expected[workspace]


async def test_new_key_in_an_outage_is_not_reported_as_not_run() -> None:
    bench, entry_1, _ = _two_entries()
    bench.platform.faults.is_down = True
    reply = await bench.ask(entry_1, bench.call('k'))
    assert reply.code == 'key_not_checked'
    assert reply.error is not None
    assert (reply.error.ran, reply.error.retry_after) == (Ran.UNKNOWN, 5)
    assert not bench.upstream.runs_by_call


async def test_minted_key_works_in_an_outage_without_a_write() -> None:
    bench, entry_1, entry_2 = _two_entries()
    bench.platform.faults.is_down = True
    key = entry_1.routing.requests.minter.mint('yard')
    first = await bench.ask(entry_2, bench.call(key))
    repeat = await bench.ask(entry_1, bench.call(key))
    assert (first.code, first.parts) == ('ok', repeat.parts)
    assert bench.platform.usage.writes == 0
    assert bench.upstream.runs_by_call == {('yard', key): 1}


async def test_minted_key_of_a_replaced_entry_never_runs() -> None:
    bench, entry_1, entry_2 = _two_entries()
    key = entry_1.routing.requests.minter.mint('yard')
    bench.start_entry('entry-1')
    reply = await bench.ask(entry_2, bench.call(key))
    assert (reply.code, reply.says_not_run) == ('may_have_run', False)
    assert not bench.upstream.runs_by_call


async def test_expired_minted_key_does_not_run_again() -> None:
    bench, entry_1, _ = _two_entries()
    key = entry_1.routing.requests.minter.mint('yard')
    await bench.ask(entry_1, bench.call(key))
    await asyncio.sleep(MINTED_KEY_LIFETIME_S + 1)
    # The start of another key makes the memory drop expired records.
    await bench.ask(
        entry_1,
        bench.call(entry_1.routing.requests.minter.mint('yard')),
    )
    assert (await bench.ask(entry_1, bench.call(key))).code == 'key_expired'
    assert bench.upstream.runs_by_call['yard', key] == 1


@pytest.mark.parametrize('change', ['workspace', 'signature'])
async def test_foreign_or_forged_minted_key_is_refused(change: str) -> None:
    bench, entry_1, _ = _two_entries()
    key = entry_1.routing.requests.minter.mint('yard')
    call = bench.call(key, workspace='depot')
    if change == 'signature':
        call = bench.call(f'{key}0')
    assert (await bench.ask(entry_1, call)).code == 'bad_idempotency_key'


async def test_full_memory_refuses_new_keys_and_keeps_old_records() -> None:
    bench, entry_1, _ = _two_entries()
    requests = entry_1.routing.requests
    requests.memory.max_records = 1
    keys = [requests.minter.mint('yard') for _ in range(2)]
    codes = [
        (await bench.ask(entry_1, bench.call(key))).code
        for key in (*keys, *keys)
    ]
    assert codes == ['ok', 'key_memory_full', 'ok', 'key_memory_full']


async def test_oldest_answers_are_evicted_and_reported_as_already_run() -> None:
    bench, entry_1, _ = _two_entries()
    requests = entry_1.routing.requests
    requests.memory.max_answer_bytes = 400
    keys = [requests.minter.mint('yard') for _ in range(3)]
    for key in keys:
        await bench.ask(entry_1, bench.call(key))
    codes = [
        (await bench.ask(entry_1, bench.call(used_key))).code
        for used_key in keys
    ]
    assert codes == ['already_ran', 'ok', 'ok']


async def test_answer_too_large_to_keep_is_reported_as_already_run() -> None:
    bench, entry_1, entry_2 = _two_entries()
    large = b'ok:0:%s' % (b'x' * MAX_KEPT_ANSWER_BYTES)
    assert (await bench.ask(entry_1, bench.call('k', large))).code == 'ok'
    await asyncio.sleep(1)
    reply = await bench.ask(entry_2, bench.call('k', large))
    assert (reply.code, bench.upstream.runs_by_call['yard', 'k']) == (
        'already_ran',
        1,
    )


async def test_run_completes_and_is_recorded_after_its_caller_leaves() -> None:
    bench, entry_1, entry_2 = _two_entries()
    caller = bench.send(entry_1, bench.call('k', SLOW_BODY), lambda reply: None)
    await asyncio.sleep(1)
    caller.cancel()
    await asyncio.sleep(60)
    assert (await bench.ask(entry_2, bench.call('k', SLOW_BODY))).code == 'ok'


async def test_key_is_free_again_after_an_attempt_that_did_not_run() -> None:
    bench, entry_1, entry_2 = _two_entries()
    refused = await bench.ask(entry_1, bench.call('k', UNREACHABLE_BODY))
    assert refused.says_not_run
    await asyncio.sleep(1)
    assert (await bench.ask(entry_2, bench.call('k'))).code == 'ok'


async def test_lost_claim_response_is_resolved_by_reading_the_row() -> None:
    bench, entry_1, _ = _two_entries()
    bench.platform.faults.lose_answers = 1
    assert (await bench.ask(entry_1, bench.call('k'))).code == 'ok'


async def test_outcome_is_written_when_the_platform_recovers() -> None:
    bench, entry_1, entry_2 = _two_entries()
    bench.send(entry_1, bench.call('k', SLOW_BODY), lambda reply: None)
    await asyncio.sleep(1)
    bench.platform.faults.is_down = True
    await asyncio.sleep(60)
    bench.platform.faults.is_down = False
    await asyncio.sleep(2)
    assert (await bench.ask(entry_2, bench.call('k', SLOW_BODY))).code == 'ok'


async def test_late_release_does_not_remove_the_next_claim() -> None:
    bench, entry_1, entry_2 = _two_entries()
    sending = bench.send(
        entry_1, bench.call('k', UNREACHABLE_BODY), lambda reply: None
    )
    await sending
    # The first removal takes longer than its timeout.
    bench.platform.faults.delay_s = 3
    await asyncio.sleep(0.15)
    bench.platform.faults.delay_s = 0
    await asyncio.sleep(2.1)
    assert (await bench.ask(entry_2, bench.call('k', NEXT_BODY))).error is None
    await asyncio.sleep(5)
    await bench.ask(entry_1, bench.call('k', NEXT_BODY))
    assert bench.upstream.runs_by_call['yard', 'k'] == 1


async def test_conflict_on_one_row_does_not_fail_its_batch() -> None:
    platform = MemoryPlatform()
    writer = BatchWriter(platform, Metrics())
    await writer.write(RowWrite('keys/taken', {}, 0))
    outcomes = await asyncio.gather(
        *(
            writer.write(RowWrite(f'keys/{name}', {'name': name}, 0))
            for name in ('a', 'taken', 'b')
        ),
        return_exceptions=True,
    )
    kinds = [type(outcome) for outcome in outcomes]
    assert kinds == [type(None), Conflict, type(None)]
    assert platform.rows_by_key['keys/taken'].fields == {}
    assert len(platform.rows_by_key) == 3


async def test_records_are_kept_for_a_day_and_then_removed() -> None:
    bench, entry_1, entry_2 = _two_entries()
    await bench.ask(entry_1, bench.call('k'))
    await asyncio.sleep(1)
    epochs = KeyEpochs(bench.platform, LoopClock())
    sweeper = KeySweeper(
        bench.platform,
        epochs,
        random.Random(1),
        Metrics(),
        KEY_PREFIX,
    )

    async def _pass_hours(hours: int) -> None:
        for _ in range(hours):
            await asyncio.sleep(EPOCH_S)
            await epochs.poll()
            await epochs.poll()
            for _ in range(100):
                await sweeper.sweep()

    await _pass_hours(24)
    assert (await bench.ask(entry_2, bench.call('k'))).code == 'ok'
    assert bench.upstream.runs_by_call['yard', 'k'] == 1
    await _pass_hours(KEPT_EPOCHS)
    assert len(bench.platform.rows_by_key) == 1


async def test_epochs_advance_no_faster_for_many_processes() -> None:
    platform = MemoryPlatform()
    processes = [KeyEpochs(platform, LoopClock()) for _ in range(5)]
    for _ in range(600):
        await asyncio.gather(*(process.poll() for process in processes))
        await asyncio.sleep(60)
    # At most ten epochs fit into ten hours.
    assert 8 <= processes[0].number <= 10


async def test_stalled_caller_is_dropped_when_its_queue_is_full() -> None:
    delivery = Delivery()
    for _ in range(MAX_QUEUED_PARTS + 10):
        await delivery.send(b'part')
    assert delivery.caller_left


async def test_waiting_for_idle_waits_for_runs_and_records() -> None:
    bench, entry_1, _ = _two_entries()
    bench.send(entry_1, bench.call('k', SLOW_BODY), lambda reply: None)
    await asyncio.sleep(1)
    await entry_1.routing.requests.wait_until_idle()
    states = [
        row.fields['state'] for row in bench.platform.rows_by_key.values()
    ]
    assert states == ['done']
