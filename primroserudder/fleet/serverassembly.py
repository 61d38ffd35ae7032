"""Assembles the component of a router that serves requests."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from ..httpclient import open_session
from ..process.tables import TableFollower
from .attemptlog import AttemptLog
from .attemptrunner import AttemptRunner
from .balancing import Balancer
from .control_plane import RouterContext
from .cost import RequestCosts
from .cost.calls import CallCosts
from .crashes.quarantine import Quarantine
from .engine_signals import EngineSignalHandler
from .enginelimits import LimitGate
from .evacuation.guard import EvacuationGuard
from .forwarding import Forwarder
from .health import TargetHealth
from .membership import InFlightCounts
from .regions import RegionMap
from .retrybudget import RetryBudgets, RetryLimit
from .retrycharger import RetryCharger
from .serving import Server
from .site_view import SiteView
from .slotqueues import SlotQueues
from .streammoves import StreamMoves
from .target_selector import TargetSelector

ENGINE_SESSION_TIMEOUT_S = 60.0
# Some hundred events; a stream whose caller doesn't read holds twice as much.
ENGINE_BUFFER_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class ControlFacts:
    """What serving needs to know from the control of the groups.

    Parameters
    ==========
    broken_groups : Callable
        Returns the keys of the groups that the lease holder found broken.
    unreachable : Callable
        Returns the ids of engines that seem to be lost.
    is_lease_held : Callable
        Returns whether this VM holds the site's lease.
    """

    broken_groups: Callable[[], Collection[int]]
    unreachable: Callable[[], Collection[str]]
    is_lease_held: Callable[[], bool]


def assemble_server(
    context: RouterContext,
    view: SiteView,
    in_flight_counts: InFlightCounts,
    limits: LimitGate,
    forwarder: Forwarder,
    health: TargetHealth,
    control: ControlFacts,
) -> Server:
    """Return the server that assigns requests to engines and sends them."""
    quarantine = Quarantine(
        context.clock,
        context.log,
        context.metrics,
        view.directory,
        control.unreachable,
        lambda: _current_since(view.engines),
        context.settings.list_expiry_s,
        view.directory.count_targets,
        control.is_lease_held,
    )
    costs = CallCosts(
        RequestCosts(
            context.settings.node,
            in_flight_counts,
            context.clock,
            context.metrics,
            context.log,
        ),
        context.settings.choose_by_cost,
    )
    session = open_session(
        ENGINE_SESSION_TIMEOUT_S,
        reuses_connections=False,
        buffer_bytes=ENGINE_BUFFER_BYTES,
    )
    selector = TargetSelector(
        context.settings.failure_domain,
        view.directory,
        Balancer(in_flight_counts.running),
        health,
        limits,
        forwarder,
        control.broken_groups,
        view.evacuations,
        RegionMap(
            context.settings.regions_by_domain,
            context.settings.failure_domain,
            context.settings.region,
        ),
        costs,
    )
    charger = RetryCharger(
        RetryBudgets(_retry_limit(context)),
        context.clock,
        limits.site_size.known_vms,
        context.log,
        context.metrics,
    )
    slots = SlotQueues(in_flight_counts, context.clock, limits.note_send, costs)
    return Server(
        selector,
        AttemptRunner(
            session,
            health,
            quarantine,
            EngineSignalHandler(
                view.directory, health, limits.registry, context.log
            ),
            StreamMoves(selector, charger, slots, quarantine),
            costs,
        ),
        context.clock,
        slots,
        health,
        quarantine,
        AttemptLog(context.log, context.metrics),
        charger,
        EvacuationGuard(selector, slots, context.metrics),
    )


def _retry_limit(context: RouterContext) -> RetryLimit:
    """Return the limit of retries, as it holds for this process."""
    limit = context.settings.repeats
    first_window_s = 0 if context.settings.is_first_start else limit.window_s
    return RetryLimit(
        limit.ratio,
        limit.extra,
        limit.window_s,
        context.clock.monotonic() + first_window_s,
    )


def _current_since(rows: TableFollower) -> float | None:
    return rows.current_since if rows.is_reachable else None
