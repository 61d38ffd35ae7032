"""Admits requests: limits of the workspace, then the deployment's gate."""

from collections.abc import AsyncIterator, Mapping
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial

from ..errors import RudderError
from .caller import CallerRequest
from .fairqueue import Ticket
from .gate import Gate
from .limits import Limiter
from .routing import Router
from .window import Capacity

SPILL_INTO = 0.85


@dataclass(slots=True)
class Admission:
    """Admits the requests of one entry; it lives as long as the process."""

    router: Router
    limiter: Limiter
    gates_by_deployment: dict[str, Gate] = field(default_factory=dict)

    @asynccontextmanager
    async def admitted(self, request: CallerRequest) -> AsyncIterator[None]:
        """Hold a place for a request while it is served.

        Raises
        ======
        LimitReached
            A limit of the workspace is used up.
        Overloaded
            No engine would come to it in time.
        """
        clock = self.router.evidence.clock
        metrics = self.router.metrics
        began = clock.monotonic()
        with ExitStack() as stack:
            try:
                await self._enter(request, stack)
            except RudderError as error:
                metrics.count(
                    'refusals',
                    code=error.code,
                    workspace=request.workspace,
                )
                metrics.latency('refusal').record(clock.monotonic() - began)
                raise
            metrics.latency('queue').record(clock.monotonic() - began)
            yield

    async def tick(self) -> None:
        """Adapt the windows and let waiting requests go on."""
        for gate in self.gates_by_deployment.values():
            gate.tick()

    def dump(self) -> Mapping[str, object]:
        """Return gates and limits for the state dump."""
        gates = {
            name: gate.dump() for name, gate in self.gates_by_deployment.items()
        }
        return {'gates': gates, 'limits': self.limiter.dump()}

    async def _enter(self, request: CallerRequest, stack: ExitStack) -> None:
        cost = self._cost(request)
        self.limiter.take(request)
        stack.callback(self.limiter.give_back, request)
        deployment = request.service.deployment
        gate = self.gates_by_deployment.get(deployment)
        if gate is None:
            capacity = partial(capacity_of, self.router, deployment)
            gate = Gate(self.router.evidence.clock, capacity)
            self.gates_by_deployment[deployment] = gate
        ticket = Ticket(
            workspace=request.workspace,
            weight=request.service.weight,
            cost=cost,
            priority=request.priority,
        )
        await gate.enter(ticket, request.deadline)
        stack.callback(gate.leave, ticket)

    def _cost(self, request: CallerRequest) -> float:
        costs = self.router.scorer.costs
        prefill = request.prompt.count(' ') * costs.prefill_word_s
        return prefill + request.max_tokens * costs.token_s


def capacity_of(router: Router, deployment: str) -> Capacity:
    """Return what the groups of the own failure domain can take.

    Explanation
    ===========
    While requests spill over, the room that is left elsewhere counts too,
    divided among all entries that may spill there.
    """
    now = router.evidence.clock.monotonic()
    own = list(router.catalogue.groups(deployment, router.failure_domain, now))
    loads = [router.scorer.load(group) for group in own]
    entries = len({*router.subset.entries(), router.subset.own_id})
    slots = sum(load.reported.slots for load in loads)
    return Capacity(
        slots=slots + _room_elsewhere(router, deployment, now),
        in_flight=sum(load.in_flight for load in loads),
        waiting=sum(load.reported.waiting for load in loads),
        entries=entries,
    )


def _room_elsewhere(router: Router, deployment: str, now: float) -> int:
    if deployment not in router.ranker.spill.spilling:
        return 0
    domains = router.catalogue.domains(deployment, now)
    others = [
        router.scorer.load(group)
        for domain in domains - {router.failure_domain}
        for group in router.catalogue.groups(deployment, domain, now)
    ]
    slots = sum(load.reported.slots for load in others)
    taken = sum(load.in_flight for load in others)
    room = max(0, SPILL_INTO * slots - taken)
    return int(room / max(1, len(domains)))
