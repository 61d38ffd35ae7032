"""Weighted fair queueing across workspaces."""

import asyncio
import heapq
import itertools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

FLOW_IDLE_TIMEOUT_S = 60.0


@dataclass(slots=True, eq=False)
class Ticket:
    """Queue entry of one request; ``cost`` is in engine slot seconds."""

    workspace: str
    weight: float
    cost: float
    priority: int = 0
    is_queued: bool = False
    is_granted: bool = False
    granted_at: float = 0
    grant_event: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Flow:
    """Queue state of one workspace; ``queued_cost`` is in slot seconds."""

    weight: float = 1
    start_tag: float = 0
    last_used_at: float = 0
    in_flight: int = 0
    queued_cost: float = 0
    waiting: list[tuple[int, int, Ticket]] = field(default_factory=list)

    def drop_removed(self) -> None:
        """Pop tickets at the head of the heap that were removed already."""
        while self.waiting and not self.waiting[0][-1].is_queued:
            heapq.heappop(self.waiting)


@dataclass(slots=True)
class FairQueue:
    """Start-time fair queueing: the lowest start tag is served first.

    Explanation
    ===========
    Each flow has a start tag in virtual time. Serving a ticket advances the
    tag of its flow by the ticket's cost divided by its weight. A flow that
    was idle restarts at the current virtual time, so that idle workspaces
    accumulate no credit. Within a flow, tickets of higher priority are served
    first.

    References
    ==========
    P. Goyal, H. M. Vin, H. Cheng, Start-time fair queueing, SIGCOMM 1996.
    """

    flows_by_workspace: dict[str, Flow] = field(default_factory=dict)
    virtual_time: float = 0
    length: int = 0
    _arrivals: Iterator[int] = field(default_factory=itertools.count)

    def update_flow(self, ticket: Ticket, now: float) -> Flow:
        """Return a ticket's flow with its weight and time of use updated."""
        flow = self.flows_by_workspace.setdefault(ticket.workspace, Flow())
        flow.weight = ticket.weight
        flow.last_used_at = now
        return flow

    def push(self, ticket: Ticket, now: float) -> None:
        """Add a ticket to the queue."""
        flow = self.update_flow(ticket, now)
        entry = (-ticket.priority, next(self._arrivals), ticket)
        heapq.heappush(flow.waiting, entry)
        flow.queued_cost += ticket.cost
        ticket.is_queued = True
        self.length += 1

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that was granted, cancelled or timed out."""
        if not ticket.is_queued:
            return
        ticket.is_queued = False
        self.length -= 1
        flow = self.flows_by_workspace[ticket.workspace]
        flow.queued_cost -= ticket.cost
        flow.drop_removed()

    def waiting_flows(self) -> list[Flow]:
        """Return flows with waiting tickets, the next to be served first."""
        waiting = [
            flow for flow in self.flows_by_workspace.values() if flow.waiting
        ]
        return sorted(waiting, key=self._start_tag)

    def charge(self, ticket: Ticket, now: float) -> None:
        """Charge a ticket's cost to its flow and count it as in flight."""
        flow = self.update_flow(ticket, now)
        start = self._start_tag(flow)
        self.virtual_time = max(self.virtual_time, start)
        flow.start_tag = start + ticket.cost / ticket.weight
        flow.in_flight += 1

    def finish(self, ticket: Ticket, now: float) -> None:
        """Stop counting a charged ticket as in flight."""
        self.update_flow(ticket, now).in_flight -= 1

    def share(self, flow: Flow) -> float:
        """Return a flow's weight as a fraction of all remembered flows."""
        total = sum(other.weight for other in self.flows_by_workspace.values())
        return flow.weight / total

    def forget_idle(self, now: float) -> None:
        """Drop idle flows that were unused for ``FLOW_IDLE_TIMEOUT_S``."""
        for workspace, flow in tuple(self.flows_by_workspace.items()):
            is_idle = not flow.in_flight and not flow.waiting
            if is_idle and now - flow.last_used_at > FLOW_IDLE_TIMEOUT_S:
                self.flows_by_workspace.pop(workspace)

    def dump(self) -> Mapping[str, object]:
        """Return waiting and in-flight requests of each workspace."""
        return {
            workspace: {
                'waiting': len(flow.waiting),
                'in_flight': flow.in_flight,
                'queued_cost_s': round(flow.queued_cost, 3),
                'weight': flow.weight,
            }
            for workspace, flow in self.flows_by_workspace.items()
        }

    def _start_tag(self, flow: Flow) -> float:
        return max(flow.start_tag, self.virtual_time)
