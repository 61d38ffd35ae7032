"""Plans, lists and cancels stops in the platform's table."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from ..errors import Ran, RudderError
from .domainsnapshot import CLAIM_PREFIX
from .groups import GROUP_PREFIX, GroupRecord, group_from_fields
from .membership import Node
from .platform import (
    Condition,
    Conflict,
    OutcomeUnknown,
    PlatformClient,
    Row,
    Transaction,
    VmListing,
    Write,
)
from .retries import retry_platform_call
from .stops import (
    STOP_PREFIX,
    Stop,
    StopEffect,
    StopKind,
    covers,
    stop_effect,
    stop_from_row,
    stop_to_fields,
)

SEQUENCE_PREFIX = 'stop-sequences/'
MAX_CONFLICTS = 5


class StopTargetUnknown(RudderError):
    """The target of a stop does not exist."""

    code = 'stop_target_unknown'
    status = 404
    ran = Ran.NO
    default_remedy = 'see rudderctl status for what there is'


class StopBeyondCapacity(RudderError):
    """The stop affects more groups than can be replaced."""

    code = 'stop_beyond_capacity'
    status = 409
    ran = Ran.NO
    default_remedy = (
        'free VMs, stop less at once, or plan it again with --accept-loss'
    )


class StopUnknown(RudderError):
    """There is no stop with that id."""

    code = 'stop_unknown'
    status = 404
    ran = Ran.NO
    default_remedy = 'see rudderctl stop list for the planned stops'


class StopUndecided(RudderError):
    """It is unknown whether the change took effect."""

    code = 'stop_undecided'
    status = 503
    default_remedy = 'give the same command with the same --id again'


@dataclass(frozen=True, slots=True)
class StopRequest:
    """An operator's request; ``stop_id`` is its idempotency key."""

    stop_id: str
    kind: StopKind
    target: str
    accepts_loss: bool = False


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A stop and its effect at the time of planning."""

    stop: Stop
    effect: StopEffect


@dataclass(frozen=True, slots=True)
class _Site:
    """The VMs, groups, claims and stops of the site."""

    listed: Sequence[VmListing]
    groups: Sequence[GroupRecord]
    claims: Sequence[Row]
    stops: Sequence[Stop]


@dataclass(slots=True)
class StopPlanner:
    """Plans, lists and cancels stops; it can run in any process."""

    platform: PlatformClient
    nodes: Callable[[], Iterable[Node]]

    async def plan(
        self,
        request: StopRequest,
        *,
        is_trial: bool = False,
    ) -> PlannedStop:
        """Plan a stop, or with ``is_trial`` only return its effect.

        Raises
        ======
        StopTargetUnknown
            The target does not exist.
        StopBeyondCapacity
            Groups cannot be replaced and the operator did not accept that.
        StopUndecided
            It is unknown whether the change took effect.
        """
        for _ in range(MAX_CONFLICTS):
            site = await self._read_site()
            planned = self._plan_for(request, site)
            if is_trial:
                return planned
            existing = _find(site.stops, request.stop_id)
            if existing is not None and not _adds_accepted_loss(
                request, existing
            ):
                return replace(planned, stop=existing)
            _check_capacity(request, planned.effect)
            stop = (
                planned.stop
                if existing is None
                else _with_accepted_loss(existing)
            )
            if await self._write(stop):
                return replace(planned, stop=stop)
        raise StopUndecided(
            f'stop {request.stop_id}: other operators changed the stops '
            'in the meantime',
        )

    async def stops(self) -> Sequence[Stop]:
        """Return all stops by failure domain, in the order of planning."""
        rows = await self.platform.scan(STOP_PREFIX)
        stops = (stop_from_row(row) for row in rows)
        return sorted(stops, key=_order)

    async def cancel(self, stop_id: str) -> Stop:
        """Remove a stop, so that its VMs may be used again.

        Raises
        ======
        StopUnknown
            There is no stop with that id.
        StopUndecided
            It is unknown whether the change took effect.
        """
        stop = _find(await self.stops(), stop_id)
        if stop is None:
            raise StopUnknown(f'got {stop_id!r}: expected a planned stop')
        removal = Transaction((), (Write(stop.key, None),))
        try:
            await retry_platform_call(lambda: self.platform.commit(removal))
        except OutcomeUnknown as unknown:
            raise StopUndecided(f'stop {stop_id}: {unknown}') from unknown
        return stop

    async def _read_site(self) -> _Site:
        groups = await self.platform.scan(GROUP_PREFIX)
        return _Site(
            listed=await self.platform.list_vms(),
            groups=[group_from_fields(row.fields) for row in groups],
            claims=await self.platform.scan(CLAIM_PREFIX),
            stops=await self.stops(),
        )

    def _plan_for(self, request: StopRequest, site: _Site) -> PlannedStop:
        stop = self._stop(request, site)
        domain = stop.failure_domain
        listed = [vm for vm in site.listed if vm.failure_domain == domain]
        excluded_by_stop = (other.covered(listed) for other in site.stops)
        claimed = (row.key.rpartition('/')[2] for row in site.claims)
        effect = stop_effect(
            stop.vms,
            [group for group in site.groups if group.failure_domain == domain],
            listed,
            frozenset(claimed).union(*excluded_by_stop),
        )
        return PlannedStop(stop, effect)

    def _stop(self, request: StopRequest, site: _Site) -> Stop:
        domain, vms = self._target(request, site)
        if not domain:
            kind = request.kind.value
            raise StopTargetUnknown(
                f'got {kind} {request.target!r}: expected a known target',
            )
        return Stop(
            stop_id=request.stop_id,
            kind=request.kind,
            target=request.target,
            failure_domain=domain,
            sequence=0,
            vms=vms,
            accepts_loss=request.accepts_loss,
        )

    def _target(
        self,
        request: StopRequest,
        site: _Site,
    ) -> tuple[str, Sequence[str]]:
        if request.kind is StopKind.ENTRY:
            domains = [
                node.failure_domain
                for node in self.nodes()
                if node.node_id == request.target and node.role == 'entry'
            ]
            return (*domains, '')[0], ()
        if request.kind is StopKind.GROUP:
            matches = [
                (group.failure_domain, [vm.vm_id for vm in group.members])
                for group in site.groups
                if group.group_id == request.target
            ]
            return (*matches, ('', ()))[0]
        affected = [
            vm for vm in site.listed if covers(request.kind, request.target, vm)
        ]
        vms = [vm.vm_id for vm in affected]
        return (*(vm.failure_domain for vm in affected), '')[0], vms

    async def _write(self, stop: Stop) -> bool:
        """Write a stop; return false if another write came first."""
        sequence_key = f'{SEQUENCE_PREFIX}{stop.failure_domain}'
        row = await self.platform.read(sequence_key)
        existing = await self.platform.read(stop.key)
        last = 0 if row is None else int(str(row.fields['last']))
        numbered = replace(stop, sequence=stop.sequence or last + 1)
        transaction = Transaction(
            (
                Condition(sequence_key, 0 if row is None else row.revision),
                Condition(
                    stop.key, 0 if existing is None else existing.revision
                ),
            ),
            (
                Write(sequence_key, {'last': last + 1}),
                Write(stop.key, stop_to_fields(numbered)),
            ),
        )
        try:
            await retry_platform_call(lambda: self.platform.commit(transaction))
        except Conflict:
            # Either another operator wrote first, or this is the retry of a
            # commit whose answer was lost. The next read of the rows decides.
            return False
        except OutcomeUnknown as unknown:
            raise StopUndecided(f'stop {stop.stop_id}: {unknown}') from unknown
        return True


def _check_capacity(request: StopRequest, effect: StopEffect) -> None:
    if not effect.lost or request.accepts_loss:
        return
    affected = len(effect.groups)
    lost = effect.lost
    serving = effect.serving
    raise StopBeyondCapacity(
        f'the stop takes out {affected} of {serving} groups of the failure '
        f'domain and {lost} of them cannot be replaced from spare VMs',
    )


def _adds_accepted_loss(request: StopRequest, stop: Stop) -> bool:
    return request.accepts_loss and not stop.accepts_loss


def _with_accepted_loss(stop: Stop) -> Stop:
    return replace(stop, accepts_loss=True)


def _find(stops: Iterable[Stop], stop_id: str) -> Stop | None:
    return next((stop for stop in stops if stop.stop_id == stop_id), None)


def _order(stop: Stop) -> tuple[str, int]:
    return (stop.failure_domain, stop.sequence)
