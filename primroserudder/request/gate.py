"""Admits requests to one deployment: window, fair queue, early refusal."""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from ..errors import Ran, RudderError
from ..process.clock import Clock
from .fairqueue import FairQueue, Flow, Ticket
from .window import Capacity, Window

LONGEST_EXPECTED_WAIT_S = 1.0
LONGEST_WAIT_S = 4.0
LEAST_RETRY_AFTER_S = 1.0
SCALE_SMOOTHING = 0.02


class Overloaded(RudderError):
    """The request would wait for too long; it was not sent anywhere."""

    code = 'overloaded'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    ran = Ran.NO
    default_remedy = 'repeat after the time in Retry-After'


@dataclass(slots=True)
class Gate:
    """The way in to one deployment.

    Explanation
    ===========
    A request that can't go at once waits here, where the order is fair, and
    not in an engine's queue. It is refused on arrival if its workspace's
    queue, at its share of the window, would not come to it in time.
    """

    clock: Clock
    capacity: Callable[[], Capacity]
    window: Window = field(default_factory=Window)
    queue: FairQueue = field(default_factory=FairQueue)
    in_flight: int = 0
    scale: float = 1

    async def enter(self, ticket: Ticket, deadline: float) -> None:
        """Wait for the ticket's turn.

        Raises
        ======
        Overloaded
            It would not come, or did not come, in time. The ticket has left
            the queue.
        """
        now = self.clock.monotonic()
        self._renew(now)
        self.queue.flow(ticket, now)
        if not self.queue.length and self._is_free(ticket):
            self._grant(ticket, now)
            return
        self._refuse_early(ticket, min(deadline - now, LONGEST_EXPECTED_WAIT_S))
        self.queue.push(ticket, now)
        self._grant_waiting()
        await self._wait(ticket, min(deadline - now, LONGEST_WAIT_S))

    def leave(self, ticket: Ticket) -> None:
        """Give back what the ticket holds: its slot or its place."""
        now = self.clock.monotonic()
        self.queue.remove(ticket)
        if ticket.is_granted:
            ticket.is_granted = False
            self.in_flight -= 1
            self.queue.finish(ticket, now)
            held = (now - ticket.granted_at) / ticket.cost
            self.scale += SCALE_SMOOTHING * (held - self.scale)
        self._renew(now)
        self._grant_waiting()

    def tick(self) -> None:
        """Adapt the window and let requests go on that fit it now."""
        self._renew(self.clock.monotonic())
        self._grant_waiting()

    def expected_wait(self, ticket: Ticket) -> float:
        """Return how long a ticket would wait, in seconds."""
        flow = self.queue.flows_by_workspace[ticket.workspace]
        # A flow that holds slots drains at their number, in seconds of a slot
        # for each second; one below its share will hold that share soon.
        share = self.queue.share(flow) * self.window.size
        rate = max(1, flow.in_flight, share)
        return flow.queued_cost * self.scale / rate

    def dump(self) -> Mapping[str, object]:
        """Return window and queue for the state dump."""
        return {
            'window': self.window.dump(),
            'in_flight': self.in_flight,
            'waiting': self.queue.length,
            'cost_scale': round(self.scale, 3),
            'workspaces': self.queue.dump(),
        }

    async def _wait(self, ticket: Ticket, longest: float) -> None:
        try:
            async with asyncio.timeout(longest):
                await ticket.turn.wait()
        except TimeoutError as late:
            self.leave(ticket)
            raise Overloaded(
                f'waited {longest:.1f} s for a free slot',
                retry_after=LEAST_RETRY_AFTER_S,
            ) from late
        except asyncio.CancelledError:
            self.leave(ticket)
            raise

    def _refuse_early(self, ticket: Ticket, longest: float) -> None:
        expected = self.expected_wait(ticket)
        if expected <= longest:
            return
        raise Overloaded(
            f'would wait {expected:.1f} s for a free slot: expected at most '
            f'{longest:.1f} s',
            retry_after=max(LEAST_RETRY_AFTER_S, math.ceil(expected)),
        )

    def _grant_waiting(self) -> None:
        while self.queue.length:
            ticket = self._next()
            if ticket is None:
                return
            self.queue.remove(ticket)
            self._grant(ticket, self.clock.monotonic())
            ticket.turn.set()

    def _next(self) -> Ticket | None:
        for flow in self.queue.candidates():
            ticket = flow.waiting[0][-1]
            if self._is_free(ticket):
                return ticket
        return None

    def _grant(self, ticket: Ticket, now: float) -> None:
        ticket.is_granted = True
        ticket.granted_at = now
        self.in_flight += 1
        self.queue.charge(ticket, now)

    def _is_free(self, ticket: Ticket) -> bool:
        # Without any group the router refuses, and nothing needs to wait.
        if not self.window.base:
            return True
        flow = self.queue.flows_by_workspace[ticket.workspace]
        is_over = self._is_over_share(flow)
        free = self.window.open_size if is_over else self.window.full_size
        return self.in_flight + 1 <= max(1, free)

    def _is_over_share(self, flow: Flow) -> bool:
        share = self.queue.share(flow)
        return flow.in_flight >= share * self.window.size

    def _renew(self, now: float) -> None:
        if not self.window.is_due(now):
            return
        is_short = self.queue.length > 0
        self.window.adapt(self.capacity(), now, is_short=is_short)
        self.queue.forget_idle(now)
