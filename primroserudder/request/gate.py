"""Admits requests to a deployment: window, fair queue, early refusal."""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from ..errors import Ran, RudderError
from ..process.clock import Clock
from .fairqueue import FairQueue, Flow, Ticket
from .window import Capacity, Window

MAX_EXPECTED_WAIT_S = 1.0
MAX_WAIT_S = 4.0
MIN_RETRY_AFTER_S = 1.0
COST_SCALE_SMOOTHING = 0.02


class Overloaded(RudderError):
    """The wait for a slot is too long; the request was not sent."""

    code = 'overloaded'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    ran = Ran.NO
    default_remedy = 'repeat after the time in Retry-After'


@dataclass(slots=True)
class Gate:
    """Admission queue of one deployment.

    Explanation
    ===========
    A request that can't be sent at once waits here, where queueing is fair
    across workspaces, instead of in an engine's queue. A request is refused
    on arrival if its workspace's queue, served at the workspace's share of
    the window, would take too long to reach it. ``cost_scale`` is the
    smoothed ratio of the time that requests held their slots to their
    estimated cost.
    """

    clock: Clock
    capacity: Callable[[], Capacity]
    window: Window = field(default_factory=Window)
    queue: FairQueue = field(default_factory=FairQueue)
    in_flight: int = 0
    cost_scale: float = 1

    async def enter(self, ticket: Ticket, deadline: float) -> None:
        """Wait until the ticket is granted a slot.

        Raises
        ======
        Overloaded
            The expected or the actual wait is too long. The ticket is no
            longer in the queue.
        """
        now = self.clock.monotonic()
        self._update_window(now)
        self.queue.update_flow(ticket, now)
        if not self.queue.length and self._has_free_slot(ticket):
            self._grant(ticket, now)
            return
        self._refuse_if_wait_is_long(
            ticket, min(deadline - now, MAX_EXPECTED_WAIT_S)
        )
        self.queue.push(ticket, now)
        self._grant_waiting()
        await self._wait(ticket, min(deadline - now, MAX_WAIT_S))

    def leave(self, ticket: Ticket) -> None:
        """Release the ticket's slot or remove it from the queue."""
        now = self.clock.monotonic()
        self.queue.remove(ticket)
        if ticket.is_granted:
            ticket.is_granted = False
            self.in_flight -= 1
            self.queue.finish(ticket, now)
            measured_scale = (now - ticket.granted_at) / ticket.cost
            self.cost_scale += COST_SCALE_SMOOTHING * (
                measured_scale - self.cost_scale
            )
        self._update_window(now)
        self._grant_waiting()

    def tick(self) -> None:
        """Adapt the window and grant waiting requests that now fit."""
        self._update_window(self.clock.monotonic())
        self._grant_waiting()

    def expected_wait(self, ticket: Ticket) -> float:
        """Return the expected wait of a ticket in seconds."""
        flow = self.queue.flows_by_workspace[ticket.workspace]
        # A flow drains as many slot seconds per second as it holds slots. A
        # flow below its share is expected to reach that share soon.
        share = self.queue.share(flow) * self.window.size
        rate = max(1, flow.in_flight, share)
        return flow.queued_cost * self.cost_scale / rate

    def dump(self) -> Mapping[str, object]:
        """Return the state of window and queue for the state dump."""
        return {
            'window': self.window.dump(),
            'in_flight': self.in_flight,
            'waiting': self.queue.length,
            'cost_scale': round(self.cost_scale, 3),
            'workspaces': self.queue.dump(),
        }

    async def _wait(self, ticket: Ticket, max_wait_s: float) -> None:
        try:
            async with asyncio.timeout(max_wait_s):
                await ticket.grant_event.wait()
        except TimeoutError as error:
            self.leave(ticket)
            raise Overloaded(
                f'no slot became free within {max_wait_s:.1f} s',
                retry_after=MIN_RETRY_AFTER_S,
            ) from error
        except asyncio.CancelledError:
            self.leave(ticket)
            raise

    def _refuse_if_wait_is_long(
        self, ticket: Ticket, max_wait_s: float
    ) -> None:
        expected = self.expected_wait(ticket)
        if expected <= max_wait_s:
            return
        raise Overloaded(
            f'expected wait of {expected:.1f} s for a free slot exceeds the '
            f'limit of {max_wait_s:.1f} s',
            retry_after=max(MIN_RETRY_AFTER_S, math.ceil(expected)),
        )

    def _grant_waiting(self) -> None:
        while self.queue.length:
            ticket = self._next_admissible()
            if ticket is None:
                return
            self.queue.remove(ticket)
            self._grant(ticket, self.clock.monotonic())
            ticket.grant_event.set()

    def _next_admissible(self) -> Ticket | None:
        for flow in self.queue.waiting_flows():
            ticket = flow.waiting[0][-1]
            if self._has_free_slot(ticket):
                return ticket
        return None

    def _grant(self, ticket: Ticket, now: float) -> None:
        ticket.is_granted = True
        ticket.granted_at = now
        self.in_flight += 1
        self.queue.charge(ticket, now)

    def _has_free_slot(self, ticket: Ticket) -> bool:
        # Without any group the router refuses the request, so it must not
        # wait here.
        if not self.window.base:
            return True
        flow = self.queue.flows_by_workspace[ticket.workspace]
        is_over_share = self._is_over_share(flow)
        limit = (
            self.window.open_size if is_over_share else self.window.full_size
        )
        return self.in_flight + 1 <= max(1, limit)

    def _is_over_share(self, flow: Flow) -> bool:
        share = self.queue.share(flow)
        return flow.in_flight >= share * self.window.size

    def _update_window(self, now: float) -> None:
        if not self.window.is_due(now):
            return
        is_short = self.queue.length > 0
        self.window.adapt(self.capacity(), now, is_short=is_short)
        self.queue.forget_idle(now)
