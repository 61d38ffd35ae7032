"""Group membership of a stand-in engine, changed by orders."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

Json = Mapping[str, object]

IDLE_POLL_S = 0.01


@dataclass(slots=True)
class GroupMember:
    """Group membership of one engine.

    Parameters
    ==========
    on_change : Callable
        Called after each change, to update the platform's server list.
    is_idle : Callable
        Returns whether the engine runs no request.
    join_s : float
        Seconds from an accepted join until the engine is ready.
    form_s : float
        Seconds for which a head still reports ready after an order to open.
    sheds : int
        Counts the orders to close without finishing what runs.
    """

    engine_id: str
    on_change: Callable[[], None]
    join_s: float
    form_s: float = 0
    group: dict[str, object] | None = None
    members: tuple[str, ...] = ()
    staged: tuple[str, ...] = ()
    highest_epoch: int = 0
    sheds: int = 0
    is_idle: Callable[[], bool] = lambda: True
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def after_restart(self) -> 'GroupMember':
        """Return the membership of the engine's next process."""
        return GroupMember(
            self.engine_id, self.on_change, self.join_s, is_idle=self.is_idle
        )

    def execute(self, order: Json) -> int:
        """Execute an order and return the HTTP status."""
        if order['Operation'] == 'join':
            return self._join(order)
        if order['Operation'] == 'Phase':
            self.staged = (str(order['Model']),)
            self.on_change()
            return HTTPStatus.ACCEPTED
        if self.group is None or self.group['Name'] != order['group']:
            return HTTPStatus.CONFLICT
        return self._change_group(self.group, order)

    def execute_later(self, order: Json, seconds: float) -> None:
        """Execute an order after a delay in seconds."""
        self._start_task(self._execute_later(order, seconds))

    def _join(self, order: Json) -> int:
        epoch = int(str(order['epoch']))
        members = order['Members']
        if epoch < self.highest_epoch or not isinstance(members, list):
            return HTTPStatus.PRECONDITION_FAILED
        self.highest_epoch = epoch
        self.members = tuple(members)
        self.staged = (str(order['Model']),)
        self.group = {
            'Name': order['group'],
            'epoch': epoch,
            'rank': members.index(self.engine_id),
            'State': 'joining',
        }
        self.on_change()
        self._start_task(self._set_state_later('ready', self.join_s, epoch))
        return HTTPStatus.ACCEPTED

    def _change_group(self, group: Json, order: Json) -> int:
        operation = order['Operation']
        if operation == 'leave':
            self.group = None
            self.on_change()
            return HTTPStatus.OK
        if operation == 'open' and group['State'] != 'ready':
            return HTTPStatus.CONFLICT
        epoch = int(str(group['epoch']))
        if operation == 'open':
            self._start_task(self._set_state_later('open', self.form_s, epoch))
        elif order.get('CloseMode') == 'queue':
            self._set_state('closing', epoch)
            self._start_task(self._close_when_idle(epoch))
        else:
            self.sheds += 1
            self._start_task(self._set_state_later('ready', 0, epoch))
        return HTTPStatus.ACCEPTED

    async def _close_when_idle(self, epoch: int) -> None:
        while not self.is_idle():
            await asyncio.sleep(IDLE_POLL_S)
        self._set_state('ready', epoch)

    async def _execute_later(self, order: Json, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self.execute(order)

    async def _set_state_later(
        self, state: str, delay_s: float, epoch: int
    ) -> None:
        await asyncio.sleep(delay_s)
        self._set_state(state, epoch)

    def _set_state(self, state: str, epoch: int) -> None:
        if self.group is None or self.group['epoch'] != epoch:
            return
        if self.group['State'] != 'broken':
            self.group = {**self.group, 'State': state}
            self.on_change()

    def _start_task(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
