"""Group membership of a stand-in engine, changed by orders."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

Json = Mapping[str, object]


@dataclass(slots=True)
class GroupMember:
    """Group membership of one engine.

    Parameters
    ==========
    on_change : Callable
        Called after each change, to update the platform's server list.
    join_s : float
        Seconds from an accepted join until the engine is ready.
    form_s : float
        Seconds for which a head still reports ready after an order to open.
    """

    engine_id: str
    on_change: Callable[[], None]
    join_s: float
    form_s: float = 0
    group: dict[str, object] | None = None
    members: tuple[str, ...] = ()
    staged: tuple[str, ...] = ()
    highest_epoch: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

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
        return self._change_group(self.group, str(order['Operation']))

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

    def _change_group(self, group: Json, operation: str) -> int:
        if operation == 'leave':
            self.group = None
            self.on_change()
            return HTTPStatus.OK
        if operation == 'open' and group['State'] != 'ready':
            return HTTPStatus.CONFLICT
        is_open = operation == 'open'
        state = 'open' if is_open else 'ready'
        delay_s = self.form_s if is_open else 0
        self._start_task(
            self._set_state_later(state, delay_s, int(str(group['epoch'])))
        )
        return HTTPStatus.ACCEPTED

    async def _execute_later(self, order: Json, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self.execute(order)

    async def _set_state_later(
        self, state: str, delay_s: float, epoch: int
    ) -> None:
        await asyncio.sleep(delay_s)
        if self.group is None or self.group['epoch'] != epoch:
            return
        if self.group['State'] != 'broken':
            self.group = {**self.group, 'State': state}
            self.on_change()

    def _start_task(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
