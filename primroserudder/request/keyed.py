"""Runs requests with an idempotency key at most once."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial

from ..errors import Ran, RudderError
from ..process.clock import Clock
from ..process.invariants import Invariants
from ..process.metrics import Metrics
from .answer import AnswerRecorder, Delivery, Sink
from .dispatch import DispatchRecord
from .keyerrors import AlreadyRan, KeyInProgress, KeyReused, MayHaveRun
from .keymemory import KeyMemory, MemoryRecord
from .keyrecord import KeyOwner, KeyRecord, KeyState, row_key
from .keystore import KeyStore, key_not_checked_error
from .mintedkey import MintedKey, Minter
from .servicecall import Executor, ServiceCall

MAX_KEPT_ANSWER_BYTES = 16_384
RETRY_AFTER_S = 1
RECORDING_TIMEOUT_S = 10

RecordOutcome = Callable[[RudderError | None, AnswerRecorder], None]


class RunFailed(RudderError):
    """The run failed with an unexpected exception in the entry."""

    code = 'run_failed'


@dataclass(slots=True)
class KeyedRequests:
    """Runs requests with an idempotency key, for the life of the process.

    Explanation
    ===========
    Each run is a separate task: if the caller disconnects, the run still
    completes and its outcome is recorded.
    """

    owner: KeyOwner
    executor: Executor
    store: KeyStore
    memory: KeyMemory
    minter: Minter
    clock: Clock
    metrics: Metrics
    invariants: Invariants
    is_owner_alive: Callable[[KeyOwner], bool]
    current_epoch: Callable[[], Awaitable[int]]
    digests_by_row_key: dict[str, str] = field(default_factory=dict)
    tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    async def serve_recorded(self, call: ServiceCall, sink: Sink) -> None:
        """Serve a request under a key that the caller chose.

        Raises
        ======
        RudderError
            The request was refused or failed.
        """
        key = row_key(call.workspace, call.key)
        running_digest = self.digests_by_row_key.get(key)
        if running_digest is not None:
            raise _in_progress_error(call, running_digest)
        self.digests_by_row_key[key] = call.digest
        await self._deliver(sink, partial(self._run_recorded, call, key))

    async def serve_minted(
        self,
        call: ServiceCall,
        key: MintedKey,
        sink: Sink,
    ) -> None:
        """Serve a request under a key that this process minted.

        Raises
        ======
        RudderError
            The request was refused or failed.
        """
        self.invariants.require(
            self.minter.is_own(key),
            'minted_key_runs_at_its_owner',
            f'request {call.request_id}',
        )
        self.minter.check_age(key)
        previous = self.memory.find(key.nonce)
        if previous is not None:
            await _answer_repeat(call, previous, sink)
            return
        self.memory.start(key.nonce, call.digest)
        await self._deliver(sink, partial(self._run_minted, call, key.nonce))

    async def wait_until_idle(self) -> None:
        """Wait for all runs, and for a limited time for their records.

        Explanation
        ===========
        It waits at most ``RECORDING_TIMEOUT_S`` seconds for the records, so
        that a process can stop during an outage of the platform. A repeat of
        a request whose outcome was not recorded fails with ``may_have_run``.
        """
        while self.tasks:
            await asyncio.wait(self.tasks)
        if self.store.tasks:
            await asyncio.wait(self.store.tasks, timeout=RECORDING_TIMEOUT_S)

    def dump(self) -> Mapping[str, object]:
        """Return the counts for the state dump."""
        return {
            'running': len(self.tasks),
            'rows_in_use': len(self.digests_by_row_key),
            'outcomes_to_write': self.store.unsaved_outcomes,
            'writes_waiting': self.store.writer.queued_count,
            'minted_by_this_process': self.minter.minted_count,
            'memory': self.memory.dump(),
        }

    async def _deliver(
        self,
        sink: Sink,
        run: Callable[[Delivery], Awaitable[None]],
    ) -> None:
        delivery = Delivery()
        task = asyncio.create_task(_run_to_end(run, delivery))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        await delivery.forward(sink)

    async def _run_recorded(
        self,
        call: ServiceCall,
        key: str,
        delivery: Delivery,
    ) -> None:
        recording = _OutcomeRecording(self, key)
        try:
            existing = await self._claim(call, key, recording)
        except Exception:
            recording.free_key()
            raise
        if existing is None:
            await self._execute(call, delivery, recording.record_outcome)
            return
        recording.free_key()
        await self._answer_from_record(call, existing, delivery)

    async def _claim(
        self,
        call: ServiceCall,
        key: str,
        recording: '_OutcomeRecording',
    ) -> KeyRecord | None:
        recording.record = KeyRecord(
            row_key=key,
            workspace=call.workspace,
            digest=call.digest,
            claim=uuid.uuid4().hex,
            owner=self.owner,
            epoch=await self._epoch(),
        )
        started_at = self.clock.monotonic()
        existing = await self.store.claim(recording.record)
        elapsed = self.clock.monotonic() - started_at
        self.metrics.latency('key_claim').record(elapsed)
        return existing

    async def _epoch(self) -> int:
        try:
            return await self.current_epoch()
        except RudderError as error:
            raise key_not_checked_error(str(error)) from error

    async def _run_minted(
        self,
        call: ServiceCall,
        nonce: int,
        delivery: Delivery,
    ) -> None:
        await self._execute(
            call,
            delivery,
            partial(self._record_minted_outcome, nonce),
        )

    async def _execute(
        self,
        call: ServiceCall,
        delivery: Delivery,
        record_outcome: RecordOutcome,
    ) -> None:
        dispatch = DispatchRecord(self.invariants, call.request_id)
        recorder = AnswerRecorder(delivery, MAX_KEPT_ANSWER_BYTES)
        try:
            await self.executor.execute(call, dispatch, recorder)
        except RudderError as error:
            record_outcome(dispatch.close(error), recorder)
            raise
        except Exception as fault:
            failure = _run_failed_error(fault)
            record_outcome(dispatch.close(failure), recorder)
            raise failure from fault
        record_outcome(None, recorder)
        self.metrics.count('keyed_runs')

    def _record_minted_outcome(
        self,
        nonce: int,
        error: RudderError | None,
        recorder: AnswerRecorder,
    ) -> None:
        if error is None:
            self.memory.finish(nonce, Ran.YES, recorder.answer())
        elif error.ran is Ran.NO:
            self.memory.release(nonce)
        else:
            self.memory.finish(nonce, error.ran)

    async def _answer_from_record(
        self,
        call: ServiceCall,
        record: KeyRecord,
        sink: Sink,
    ) -> None:
        is_same_workspace = record.workspace == call.workspace
        if not is_same_workspace or record.digest != call.digest:
            raise _key_reused_error()
        if record.state is KeyState.STARTED:
            raise self._started_elsewhere_error(record)
        previous = MemoryRecord(
            record.digest,
            started_at=0,
            is_ended=True,
            ran=record.ran,
            answer=record.answer,
        )
        await _answer_repeat(call, previous, sink)

    def _started_elsewhere_error(self, record: KeyRecord) -> RudderError:
        if self.is_owner_alive(record.owner):
            return KeyInProgress(
                'an earlier attempt with the key is running at another entry',
                retry_after=RETRY_AFTER_S,
            )
        node_id = record.owner.node_id
        return MayHaveRun(
            f'an earlier attempt began at entry {node_id}, which has stopped '
            'or is unreachable; its outcome is unknown',
        )


@dataclass(slots=True)
class _OutcomeRecording:
    """Records the outcome of one run, then frees its key in this process."""

    requests: KeyedRequests
    key: str
    record: KeyRecord = field(init=False)

    def free_key(self, _: object = None) -> None:
        """Let the next attempt with the key read the table."""
        self.requests.digests_by_row_key.pop(self.key, None)

    def record_outcome(
        self,
        error: RudderError | None,
        recorder: AnswerRecorder,
    ) -> None:
        """Start to write the outcome; the caller does not wait for it."""
        store = self.requests.store
        if error is not None and error.ran is Ran.NO:
            write_task = store.release(self.record)
        else:
            write_task = store.finish(self._outcome(error, recorder))
        write_task.add_done_callback(self.free_key)

    def _outcome(
        self,
        error: RudderError | None,
        recorder: AnswerRecorder,
    ) -> KeyRecord:
        if error is None:
            return replace(
                self.record,
                state=KeyState.DONE,
                ran=Ran.YES,
                answer=recorder.answer(),
            )
        return replace(self.record, state=KeyState.FAILED, ran=error.ran)


async def _run_to_end(
    run: Callable[[Delivery], Awaitable[None]],
    delivery: Delivery,
) -> None:
    try:
        await run(delivery)
    except RudderError as error:
        await delivery.end(error)
    except Exception as fault:
        await delivery.end(_run_failed_error(fault))
    else:
        await delivery.end()


async def _answer_repeat(
    call: ServiceCall,
    previous: MemoryRecord,
    sink: Sink,
) -> None:
    if previous.digest != call.digest:
        raise _key_reused_error()
    if not previous.is_ended:
        raise _in_progress_error(call, previous.digest)
    if previous.answer is None:
        raise _answer_missing_error(previous.ran)
    await previous.answer.replay(sink)


def _answer_missing_error(ran: Ran) -> RudderError:
    if ran is Ran.YES:
        return AlreadyRan(
            'an earlier attempt with the key ran, and its answer was not kept',
        )
    return MayHaveRun(
        'an earlier attempt with the key failed; whether it ran is unknown',
    )


def _in_progress_error(call: ServiceCall, running_digest: str) -> RudderError:
    if running_digest != call.digest:
        return _key_reused_error()
    return KeyInProgress(
        'an earlier attempt with the key has not finished',
        retry_after=RETRY_AFTER_S,
    )


def _run_failed_error(fault: Exception) -> RunFailed:
    return RunFailed(f'unexpected error in the entry: {type(fault).__name__}')


def _key_reused_error() -> KeyReused:
    return KeyReused('the key was already used for another request')
