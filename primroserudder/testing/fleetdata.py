"""Builders of engines, groups and calls for tests of the fleet."""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

from ..fleet.call import Call
from ..fleet.group_lifecycle import EngineSnapshot, GroupProgress
from ..fleet.model import (
    Engine,
    EngineSpec,
    Formation,
    GroupState,
    Membership,
    ModelSpec,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    Target,
)
from ..fleet.placement import FreeEngine
from ..fleet.retries import RetryState
from ..fleet.routes import NO_WORKSPACE, Destination
from ..platform.headers import read_request
from ..process.invariants import Invariants
from ..process.metrics import Metrics
from ..request.dispatch import DispatchRecord

LARGE = ModelSpec('large', 6, 0.67, 16, 1.6)
SMALL = ModelSpec('small', 3, 0.33, 12, 1.1)
SPECS = (LARGE, SMALL)
SPEC = EngineSpec(13, {spec.name: spec for spec in SPECS}, 1_000_000, 5.5, 8)
STALL_S = 4.0


@dataclass(slots=True)
class ManualClock:
    """A clock that advances only when a test calls ``advance``."""

    now: float = 100

    def monotonic(self) -> float:
        """Return the current time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the current time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds


def engine(
    engine_id: str,
    domain: str = 'd0',
    **fields: object,
) -> Engine:
    """Return a listed engine of the model service."""
    defaults: dict[str, object] = {
        'service': 'model',
        'address': '127.0.0.1:1',
        'failure_domain': 'fd-1',
        'slots': 13,
        'fabric_domain': domain,
        'born_ms': 1,
    }
    return Engine(engine_id, **{**defaults, **fields})  # type: ignore[arg-type]


def formation(
    name: str = 'small.7',
    members: Iterable[str] = ('a', 'b', 'c'),
    model: str = 'small',
) -> Formation:
    """Return a formation; its epoch is the number in its name."""
    epoch = int(name.split('.')[1])
    return Formation(name, epoch, model, tuple(members))


def joined_engine(
    group_formation: Formation,
    engine_id: str,
    state: GroupState = GroupState.READY,
    **fields: object,
) -> Engine:
    """Return an engine that reports to be a member of a group."""
    rank = group_formation.members.index(engine_id)
    membership = Membership(
        group_formation.name, group_formation.epoch, rank, state
    )
    engine_fields = {**fields, 'membership': membership}
    return engine(engine_id, **engine_fields)  # type: ignore[arg-type]


def group(
    group_formation: Formation,
    head: GroupState = GroupState.OPEN,
) -> dict[str, Engine]:
    """Return a group's engines by id, with its head in a given state."""
    first, *others = group_formation.members
    return {
        first: joined_engine(group_formation, first, head),
        **{other: joined_engine(group_formation, other) for other in others},
    }


def group_progress(claimed: Formation, **fields: object) -> GroupProgress:
    """Return the progress of a group whose members are claimed."""
    born = dict.fromkeys(claimed.members, 1)
    return GroupProgress(claimed, born, 0, **fields)  # type: ignore[arg-type]


def engine_snapshot(
    engines_by_id: Mapping[str, Engine],
    now: float = 10,
    unreachable: Iterable[str] = (),
) -> EngineSnapshot:
    """Return the snapshot of engines that a lease holder acts on."""
    return EngineSnapshot(engines_by_id, set(unreachable), STALL_S, now)


def free(
    engine_id: str,
    holds: str = '',
    domain: str = 'd0',
    staged: tuple[str, ...] = (),
) -> FreeEngine:
    """Return a free engine that holds a model in memory."""
    return FreeEngine(engine(engine_id, domain, staged=staged), holds)


def target(
    engine_id: str,
    slots: int = 13,
    domain: str = 'fd-1',
    born_ms: int = 0,
) -> Target:
    """Return a target that accepts requests."""
    return Target(
        engine_id,
        '127.0.0.1:1',
        domain,
        slots,
        f'{engine_id}.1',
        born_ms=born_ms,
    )


def route(**fields: object) -> Route:
    """Return a route of a resumable stream."""
    defaults: dict[str, object] = {
        'name': 'notes',
        'host': 'one.example',
        'prefix': '/notes/',
        'kind': RequestKind.STREAM,
        'shares': (ServiceShare('model', 1),),
        'timeout_s': 6,
        'objective_s': 0.25,
        'max_attempts': 2,
        'is_resumable': True,
    }
    return Route(**{**defaults, **fields})  # type: ignore[arg-type]


def call(
    call_route: Route | None = None,
    headers: Mapping[str, str] | None = None,
    body: bytes = b'text',
) -> Call:
    """Return a request received now; needs a running event loop."""
    used_route = call_route or route()
    fields = CIMultiDictProxy(CIMultiDict(headers or {}))
    now = asyncio.get_running_loop().time()
    return Call(
        method='POST',
        raw_path=f'{used_route.prefix}1',
        headers=fields,
        body=body,
        metadata=read_request(fields),
        destination=Destination(
            used_route, Service('model', 100, SPEC), NO_WORKSPACE
        ),
        received_at=now,
        deadline_at=now + used_route.timeout_s,
        retry_state=RetryState(used_route),
        dispatch=DispatchRecord(Invariants(Metrics()), 'request-1'),
    )
