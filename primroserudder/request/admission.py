"""Admits requests by workspace limits, then by the deployment's gate."""

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

SPILL_TARGET_UTILISATION = 0.85


@dataclass(slots=True)
class Admission:
    """Admission control of one entry, kept for the life of the process."""

    router: Router
    limiter: Limiter
    gates_by_deployment: dict[str, Gate] = field(default_factory=dict)

    @asynccontextmanager
    async def admitted(self, request: CallerRequest) -> AsyncIterator[None]:
        """Hold a slot and the limits of a request while it is served.

        Raises
        ======
        LimitReached
            A limit of the workspace is used up.
        Overloaded
            The expected or the actual wait for a slot is too long.
        """
        clock = self.router.evidence.clock
        metrics = self.router.metrics
        started_at = clock.monotonic()
        with ExitStack() as stack:
            try:
                await self._enter(request, stack)
            except RudderError as error:
                metrics.count(
                    'refusals',
                    code=error.code,
                    workspace=request.workspace,
                )
                metrics.latency('refusal').record(
                    clock.monotonic() - started_at
                )
                raise
            metrics.latency('queue').record(clock.monotonic() - started_at)
            yield

    async def tick(self) -> None:
        """Adapt the windows and grant slots to waiting requests."""
        for gate in self.gates_by_deployment.values():
            gate.tick()

    def dump(self) -> Mapping[str, object]:
        """Return the state of gates and limits for the state dump."""
        gates = {
            name: gate.dump() for name, gate in self.gates_by_deployment.items()
        }
        return {'gates': gates, 'limits': self.limiter.dump()}

    async def _enter(self, request: CallerRequest, stack: ExitStack) -> None:
        cost = self._estimated_cost(request)
        self.limiter.acquire(request)
        stack.callback(self.limiter.release, request)
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

    def _estimated_cost(self, request: CallerRequest) -> float:
        costs = self.router.scorer.costs
        prefill = request.prompt.count(' ') * costs.prefill_word_s
        return prefill + request.max_tokens * costs.token_s


def capacity_of(router: Router, deployment: str) -> Capacity:
    """Return the capacity of the groups in this entry's failure domain.

    Explanation
    ===========
    While requests spill over, the free slots in other failure domains are
    added, divided by the number of the deployment's failure domains, because
    the entries of each may spill there. The window divides the result among
    the entries of this failure domain.
    """
    now = router.evidence.clock.monotonic()
    own = list(router.catalogue.groups(deployment, router.failure_domain, now))
    loads = [router.scorer.load(group) for group in own]
    entries = len({*router.subset.entries(), router.subset.own_id})
    slots = sum(load.reported.slots for load in loads)
    return Capacity(
        slots=slots + _free_slots_elsewhere(router, deployment, now),
        in_flight=sum(load.in_flight for load in loads),
        waiting=sum(load.reported.waiting for load in loads),
        entries=entries,
    )


def _free_slots_elsewhere(router: Router, deployment: str, now: float) -> int:
    if deployment not in router.ranker.spill.spilling:
        return 0
    domains = router.catalogue.domains(deployment, now)
    others = [
        router.scorer.load(group)
        for domain in domains - {router.failure_domain}
        for group in router.catalogue.groups(deployment, domain, now)
    ]
    slots = sum(load.reported.slots for load in others)
    used = sum(load.in_flight for load in others)
    free = max(0, SPILL_TARGET_UTILISATION * slots - used)
    return int(free / max(1, len(domains)))
