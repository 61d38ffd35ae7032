"""An entry: forwards callers' requests to whole groups."""

from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from ..connection.callers import Callers
from ..connection.drain import Drain
from ..connection.enginehttp import EngineHttp
from ..connection.http import bound_port
from ..process.entrystops import STOP_POLL_S, EntryStops
from ..process.groups import (
    GROUP_PREFIX,
    GroupDirectory,
    group_from_fields,
)
from ..process.settings import EntrySettings
from ..request.attempts import Server
from ..request.cacheevents import CacheEventPoller
from ..request.keyed import KeyedRequests
from ..request.pinning import wanted_version
from ..request.routing import Router
from ..request.subset import Subset, serving_entries
from ..request.watchdog import WATCH_INTERVAL_S
from .entryadmission import start_admission
from .evidencesteps import EvidenceSteps
from .keyedparts import wire_keyed
from .node import NodeRuntime
from .suspectsharing import share_suspects

GROUP_POLL_INTERVAL_S = 1
ROUTING_INTERVAL_S = 1
SWEEP_INTERVAL_S = 1


@dataclass(slots=True)
class EntryNode:
    """The components of an entry process."""

    settings: EntrySettings
    runtime: NodeRuntime = field(init=False)
    directory: GroupDirectory = field(default_factory=GroupDirectory)
    callers: Callers = field(init=False)
    drain: Drain = field(init=False)
    evidence: EvidenceSteps = field(init=False)
    stops: EntryStops = field(init=False)
    cache_poller: CacheEventPoller = field(init=False)
    keyed: KeyedRequests = field(init=False)
    callers_port: int = 0
    operators_port: int = 0

    def __post_init__(self) -> None:
        """Create the components that need no running event loop."""
        self.runtime = NodeRuntime(self.settings, 'entry')
        self.drain = Drain(
            self.runtime.metrics,
            self.settings.drain_notice_s,
            on_draining_change=self._set_draining,
        )

    async def start(self) -> None:
        """Open the ports and start the periodic steps."""
        runtime = self.runtime
        await runtime.open_clients()
        await runtime.open_peers()
        await self._create_components()
        self._register_state()
        await self._listen()
        runtime.start_common_steps()
        self._start_steps()

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new requests."""
        runtime = self.runtime
        is_configured = runtime.holder.current.number > 0
        is_current = is_configured and runtime.distributor.is_caught_up()
        return is_current and not runtime.is_draining

    async def stop(self) -> None:
        """Refuse new requests, let in-flight requests finish, then close."""
        if self.callers_port:
            self.stops.close()
            await self.drain.run()
        await self.runtime.close()

    def _set_draining(self, is_draining: bool) -> None:
        self.runtime.is_draining = is_draining

    async def _listen(self) -> None:
        await self.runtime.start_peers()
        # Requests with an idempotency key run on after their callers have
        # disconnected, so the shutdown waits for them.
        self.runtime.stack.push_async_callback(self.keyed.wait_until_idle)
        self.operators_port = await self.runtime.listen_operators(
            self.is_ready,
        )
        guard = self.callers.guard
        runner = await self.runtime.listen_http(
            self.drain.attach(self.callers.app()),
            self.settings.callers,
            'callers',
        )
        guard.runner = runner
        self.callers_port = bound_port(runner)
        self.runtime.start_step(guard.sweep, SWEEP_INTERVAL_S, 'sweep')
        self.stops = EntryStops(
            self.runtime.platform,
            self.runtime.membership.own,
            self.drain,
        )
        self.runtime.start_step(self.stops.step, STOP_POLL_S, 'entry_stop')

    async def _create_components(self) -> None:
        runtime = self.runtime
        engines = EngineHttp(runtime.session)
        in_flight_by_group: Counter[str] = Counter()
        self.evidence = EvidenceSteps(
            runtime,
            self.directory,
            engines,
            in_flight_by_group,
        )
        self.evidence.answer_peers()
        router = Router(
            self.settings.failure_domain,
            self.directory,
            self.evidence.book,
            runtime.rng,
            runtime.metrics,
            partial(wanted_version, runtime.holder),
            Subset(
                runtime.membership.own.node_id,
                partial(serving_entries, runtime.membership),
            ),
            in_flight_by_group,
        )
        self.cache_poller = CacheEventPoller(router, engines)
        self.callers = Callers(
            server=Server(router, engines, runtime.clock, runtime.metrics),
            holder=runtime.holder,
            clock=runtime.clock,
            metrics=runtime.metrics,
            invariants=runtime.invariants,
            max_body_bytes=self.settings.max_body_bytes,
            admission=start_admission(runtime, router),
        )
        watchdog = self.callers.server.watchdog
        runtime.start_step(watchdog.step, WATCH_INTERVAL_S, 'watch_attempts')
        share_suspects(runtime, self.callers.server.isolation)
        await self._create_keyed_components()

    async def _create_keyed_components(self) -> None:
        handlers = await wire_keyed(
            self.runtime,
            self.settings,
            self.callers.server,
            self.callers.track_in_flight,
        )
        self.keyed = handlers.routing.requests
        self.callers.serve_keyed = handlers.serve_keyed
        self.callers.routes.extend(handlers.routes())
        self.runtime.operator_routes.extend(handlers.operator_routes())

    def _start_steps(self) -> None:
        start = self.runtime.start_step
        start(self._poll_groups, GROUP_POLL_INTERVAL_S, 'poll_groups')
        start(self.cache_poller.step, ROUTING_INTERVAL_S, 'routing')
        self.evidence.start()

    def _register_state(self) -> None:
        state = self.runtime.state
        state.register('groups', self.directory.dump)
        state.register('routing', self.cache_poller.router.dump)
        state.register('retry_budget', self.callers.server.retries.dump)
        state.register('drain', self.drain.dump)
        state.register('in_flight', lambda: sorted(self.callers.in_flight))

    async def _poll_groups(self) -> None:
        rows = await self.runtime.platform.scan(GROUP_PREFIX)
        groups = [group_from_fields(row.fields) for row in rows]
        domains = {group.failure_domain for group in groups}
        for domain in domains:
            domain_groups = [
                group for group in groups if group.failure_domain == domain
            ]
            self.directory.replace_domain(domain, domain_groups)
