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
from .keystore import KeyStore, not_checked
from .mintedkey import MintedKey, Minter
from .servicecall import Executor, ServiceCall

KEPT_ANSWER_BYTES = 16_384
RETRY_AFTER_S = 1
RECORDING_PATIENCE_S = 10

Settle = Callable[[RudderError | None, AnswerRecorder], None]


class RunFailed(RudderError):
    """The run failed for a fault of the program."""

    code = 'run_failed'


@dataclass(slots=True)
class KeyedRequests:
    """Runs keyed requests; it lives as long as the process.

    Explanation
    ===========
    A run is a task of its own: it goes on to its end, and its outcome is
    recorded, when its caller leaves.
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
    digests_by_row: dict[str, str] = field(default_factory=dict)
    tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    async def serve_recorded(self, call: ServiceCall, sink: Sink) -> None:
        """Serve a request under a key of the caller's own.

        Raises
        ======
        RudderError
            The request was refused or failed.
        """
        key = row_key(call.workspace, call.key)
        running = self.digests_by_row.get(key)
        if running is not None:
            raise _in_progress(call, running)
        self.digests_by_row[key] = call.digest
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
        known = self.memory.find(key.nonce)
        if known is not None:
            await _answer_again(call, known, sink)
            return
        self.memory.start(key.nonce, call.digest)
        await self._deliver(sink, partial(self._run_minted, call, key.nonce))

    async def wait_until_idle(self) -> None:
        """Wait for all runs, and a while for the records of their outcomes.

        Explanation
        ===========
        A process that stops in an outage of the platform does not wait for
        its end; what is not recorded then "may have run" to later repeats.
        """
        while self.tasks:
            await asyncio.wait(self.tasks)
        if self.store.tasks:
            await asyncio.wait(self.store.tasks, timeout=RECORDING_PATIENCE_S)

    def dump(self) -> Mapping[str, object]:
        """Return the sizes for the state dump."""
        return {
            'running': len(self.tasks),
            'rows_in_use': len(self.digests_by_row),
            'outcomes_to_write': self.store.unsaved,
            'writes_waiting': self.store.writer.waiting,
            'minted_by_this_process': self.minter.minted,
            'memory': self.memory.dump(),
        }

    async def _deliver(
        self,
        sink: Sink,
        run: Callable[[Delivery], Awaitable[None]],
    ) -> None:
        delivery = Delivery()
        task = asyncio.create_task(_to_the_end(run, delivery))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        await delivery.forward(sink)

    async def _run_recorded(
        self,
        call: ServiceCall,
        key: str,
        delivery: Delivery,
    ) -> None:
        settling = _RecordedSettling(self, key)
        try:
            standing = await self._claim(call, key, settling)
        except Exception:
            settling.let_go()
            raise
        if standing is None:
            await self._execute(call, delivery, settling.settle)
            return
        settling.let_go()
        await self._answer_standing(call, standing, delivery)

    async def _claim(
        self,
        call: ServiceCall,
        key: str,
        settling: '_RecordedSettling',
    ) -> KeyRecord | None:
        settling.record = KeyRecord(
            row_key=key,
            workspace=call.workspace,
            digest=call.digest,
            claim=uuid.uuid4().hex,
            owner=self.owner,
            epoch=await self._epoch(),
        )
        started_at = self.clock.monotonic()
        standing = await self.store.claim(settling.record)
        waited = self.clock.monotonic() - started_at
        self.metrics.latency('key_claim').record(waited)
        return standing

    async def _epoch(self) -> int:
        try:
            return await self.current_epoch()
        except RudderError as error:
            raise not_checked(str(error)) from error

    async def _run_minted(
        self,
        call: ServiceCall,
        nonce: int,
        delivery: Delivery,
    ) -> None:
        await self._execute(
            call,
            delivery,
            partial(self._settle_minted, nonce),
        )

    async def _execute(
        self,
        call: ServiceCall,
        delivery: Delivery,
        settle: Settle,
    ) -> None:
        dispatch = DispatchRecord(self.invariants, call.request_id)
        recorder = AnswerRecorder(delivery, KEPT_ANSWER_BYTES)
        try:
            await self.executor.execute(call, dispatch, recorder)
        except RudderError as error:
            settle(dispatch.close(error), recorder)
            raise
        except Exception as fault:
            failed = _run_failed(fault)
            settle(dispatch.close(failed), recorder)
            raise failed from fault
        settle(None, recorder)
        self.metrics.count('keyed_runs')

    def _settle_minted(
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

    async def _answer_standing(
        self,
        call: ServiceCall,
        record: KeyRecord,
        sink: Sink,
    ) -> None:
        is_same = record.workspace == call.workspace
        if not is_same or record.digest != call.digest:
            raise _reused()
        if record.state is KeyState.STARTED:
            raise self._started_elsewhere(record)
        known = MemoryRecord(
            record.digest,
            started_at=0,
            is_ended=True,
            ran=record.ran,
            answer=record.answer,
        )
        await _answer_again(call, known, sink)

    def _started_elsewhere(self, record: KeyRecord) -> RudderError:
        if self.is_owner_alive(record.owner):
            return KeyInProgress(
                'an earlier attempt runs at another entry',
                retry_after=RETRY_AFTER_S,
            )
        node_id = record.owner.node_id
        return MayHaveRun(
            f'an earlier attempt began at entry {node_id}, which is gone or '
            'cut off',
        )


@dataclass(slots=True)
class _RecordedSettling:
    """Records the outcome of one run and frees its key in this process."""

    requests: KeyedRequests
    key: str
    record: KeyRecord = field(init=False)

    def let_go(self, _: object = None) -> None:
        """Let the next attempt with the key ask the table."""
        self.requests.digests_by_row.pop(self.key, None)

    def settle(
        self,
        error: RudderError | None,
        recorder: AnswerRecorder,
    ) -> None:
        """Write the outcome; the caller does not wait for it."""
        store = self.requests.store
        if error is not None and error.ran is Ran.NO:
            writing = store.release(self.record)
        else:
            writing = store.finish(self._outcome(error, recorder))
        writing.add_done_callback(self.let_go)

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


async def _to_the_end(
    run: Callable[[Delivery], Awaitable[None]],
    delivery: Delivery,
) -> None:
    try:
        await run(delivery)
    except RudderError as error:
        await delivery.end(error)
    except Exception as fault:
        await delivery.end(_run_failed(fault))
    else:
        await delivery.end()


async def _answer_again(
    call: ServiceCall,
    known: MemoryRecord,
    sink: Sink,
) -> None:
    if known.digest != call.digest:
        raise _reused()
    if not known.is_ended:
        raise _in_progress(call, known.digest)
    if known.answer is None:
        raise _without_answer(known.ran)
    await known.answer.replay(sink)


def _without_answer(ran: Ran) -> RudderError:
    if ran is Ran.YES:
        return AlreadyRan('an earlier attempt with the key ran')
    return MayHaveRun('an earlier attempt with the key was lost on its way')


def _in_progress(call: ServiceCall, running: str) -> RudderError:
    if running != call.digest:
        return _reused()
    return KeyInProgress(
        'an earlier attempt with the key is not settled yet',
        retry_after=RETRY_AFTER_S,
    )


def _run_failed(fault: Exception) -> RunFailed:
    return RunFailed(f'the entry failed: {type(fault).__name__}')


def _reused() -> KeyReused:
    return KeyReused('got a key that was used for another request')
