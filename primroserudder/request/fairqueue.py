"""A weighted fair queue over workspaces."""

import asyncio
import heapq
import itertools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

FLOW_MEMORY_S = 60.0


@dataclass(slots=True, eq=False)
class Ticket:
    """One request's place; costs are seconds of an engine's slot."""

    workspace: str
    weight: float
    cost: float
    priority: int = 0
    is_queued: bool = False
    is_granted: bool = False
    granted_at: float = 0
    turn: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Flow:
    """The requests of one workspace."""

    weight: float = 1
    start: float = 0
    used_at: float = 0
    in_flight: int = 0
    queued_cost: float = 0
    waiting: list[tuple[int, int, Ticket]] = field(default_factory=list)

    def drop_gone(self) -> None:
        """Remove tickets that left the queue from its head."""
        while self.waiting and not self.waiting[0][-1].is_queued:
            heapq.heappop(self.waiting)


@dataclass(slots=True)
class FairQueue:
    """Start-time fair queueing: least service for its weight goes first.

    Explanation
    ===========
    Each flow has a start tag in virtual time. Whoever is served moves its
    flow's tag on by cost through weight. A flow that comes back from idleness
    starts at the present virtual time, so that nobody saves up service.
    Within a flow the higher priority goes first.

    References
    ==========
    P. Goyal, H. M. Vin, H. Cheng, Start-time fair queueing, SIGCOMM 1996.
    """

    flows_by_workspace: dict[str, Flow] = field(default_factory=dict)
    virtual_time: float = 0
    length: int = 0
    _arrivals: Iterator[int] = field(default_factory=itertools.count)

    def flow(self, ticket: Ticket, now: float) -> Flow:
        """Return the flow that a ticket belongs to."""
        flow = self.flows_by_workspace.setdefault(ticket.workspace, Flow())
        flow.weight = ticket.weight
        flow.used_at = now
        return flow

    def push(self, ticket: Ticket, now: float) -> None:
        """Let a ticket wait."""
        flow = self.flow(ticket, now)
        place = (-ticket.priority, next(self._arrivals), ticket)
        heapq.heappush(flow.waiting, place)
        flow.queued_cost += ticket.cost
        ticket.is_queued = True
        self.length += 1

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out, whether it was served or gave up."""
        if not ticket.is_queued:
            return
        ticket.is_queued = False
        self.length -= 1
        flow = self.flows_by_workspace[ticket.workspace]
        flow.queued_cost -= ticket.cost
        flow.drop_gone()

    def candidates(self) -> list[Flow]:
        """Return the flows that wait, the one to be served next first."""
        waiting = [
            flow for flow in self.flows_by_workspace.values() if flow.waiting
        ]
        return sorted(waiting, key=self._tag)

    def charge(self, ticket: Ticket, now: float) -> None:
        """Count the service of a ticket."""
        flow = self.flow(ticket, now)
        start = self._tag(flow)
        self.virtual_time = max(self.virtual_time, start)
        flow.start = start + ticket.cost / ticket.weight
        flow.in_flight += 1

    def finish(self, ticket: Ticket, now: float) -> None:
        """Count a served ticket out."""
        self.flow(ticket, now).in_flight -= 1

    def share(self, flow: Flow) -> float:
        """Return a flow's part of the service among those seen lately."""
        total = sum(one.weight for one in self.flows_by_workspace.values())
        return flow.weight / total

    def forget_idle(self, now: float) -> None:
        """Drop flows that were not used for a while."""
        for workspace, flow in tuple(self.flows_by_workspace.items()):
            is_idle = not flow.in_flight and not flow.waiting
            if is_idle and now - flow.used_at > FLOW_MEMORY_S:
                self.flows_by_workspace.pop(workspace)

    def dump(self) -> Mapping[str, object]:
        """Return what waits and runs, by workspace."""
        return {
            workspace: {
                'waiting': len(flow.waiting),
                'in_flight': flow.in_flight,
                'queued_cost_s': round(flow.queued_cost, 3),
                'weight': flow.weight,
            }
            for workspace, flow in self.flows_by_workspace.items()
        }

    def _tag(self, flow: Flow) -> float:
        return max(flow.start, self.virtual_time)
