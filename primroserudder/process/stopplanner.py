"""Takes operators' stops and keeps them in the platform's table."""

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
MAX_RACES = 5


class StopTargetUnknown(RudderError):
    """There is nothing of that name to stop."""

    code = 'stop_target_unknown'
    status = 404
    ran = Ran.NO
    default_remedy = 'see rudderctl status for what there is'


class StopBeyondCapacity(RudderError):
    """The stop takes out more groups than can be replaced."""

    code = 'stop_beyond_capacity'
    status = 409
    ran = Ran.NO
    default_remedy = (
        'free VMs, stop less at once, or plan it again with --accept-loss'
    )


class StopUnknown(RudderError):
    """There is no stop of that id."""

    code = 'stop_unknown'
    status = 404
    ran = Ran.NO
    default_remedy = 'see rudderctl stop list for the planned stops'


class StopUndecided(RudderError):
    """The platform did not tell whether the change took effect."""

    code = 'stop_undecided'
    status = 503
    default_remedy = 'give the same command with the same --id again'


@dataclass(frozen=True, slots=True)
class StopRequest:
    """What an operator asks for; the id makes a repeat harmless."""

    stop_id: str
    kind: StopKind
    target: str
    accepts_loss: bool = False


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A stop and its effect as known when it was planned."""

    stop: Stop
    effect: StopEffect


@dataclass(frozen=True, slots=True)
class _Site:
    """What the platform knows of the site."""

    listed: Sequence[VmListing]
    groups: Sequence[GroupRecord]
    claims: Sequence[Row]
    stops: Sequence[Stop]


@dataclass(slots=True)
class StopPlanner:
    """Plans, lists and cancels stops at any process."""

    platform: PlatformClient
    nodes: Callable[[], Iterable[Node]]

    async def plan(
        self,
        request: StopRequest,
        *,
        is_trial: bool = False,
    ) -> PlannedStop:
        """Plan a stop, or only say what it would do.

        Raises
        ======
        StopTargetUnknown
            There is nothing of that name.
        StopBeyondCapacity
            Groups would be lost and the operator did not accept it.
        StopUndecided
            The platform's answers were lost.
        """
        for _ in range(MAX_RACES):
            site = await self._look()
            planned = self._planned(request, site)
            if is_trial:
                return planned
            known = _find(site.stops, request.stop_id)
            if known is not None and not _adds_consent(request, known):
                return replace(planned, stop=known)
            _check_capacity(request, planned.effect)
            stop = planned.stop if known is None else _consented(known)
            if await self._write(stop):
                return replace(planned, stop=stop)
        raise StopUndecided(
            f'stop {request.stop_id}: other operators changed the stops '
            'meanwhile',
        )

    async def stops(self) -> Sequence[Stop]:
        """Return all stops in the order of planning."""
        rows = await self.platform.scan(STOP_PREFIX)
        found = (stop_from_row(row) for row in rows)
        return sorted(found, key=_order)

    async def cancel(self, stop_id: str) -> Stop:
        """End a stop, so that its VMs may be used again.

        Raises
        ======
        StopUnknown
            There is no stop of that id.
        StopUndecided
            The platform's answers were lost.
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

    async def _look(self) -> _Site:
        groups = await self.platform.scan(GROUP_PREFIX)
        return _Site(
            listed=await self.platform.list_vms(),
            groups=[group_from_fields(row.fields) for row in groups],
            claims=await self.platform.scan(CLAIM_PREFIX),
            stops=await self.stops(),
        )

    def _planned(self, request: StopRequest, site: _Site) -> PlannedStop:
        stop = self._stop(request, site)
        domain = stop.failure_domain
        listed = [vm for vm in site.listed if vm.failure_domain == domain]
        stopped = (other.covered(listed) for other in site.stops)
        claimed = (row.key.rpartition('/')[2] for row in site.claims)
        effect = stop_effect(
            stop.vms,
            [group for group in site.groups if group.failure_domain == domain],
            listed,
            frozenset(claimed).union(*stopped),
        )
        return PlannedStop(stop, effect)

    def _stop(self, request: StopRequest, site: _Site) -> Stop:
        domain, vms = self._target(request, site)
        if not domain:
            kind = request.kind.value
            raise StopTargetUnknown(
                f'got {kind} {request.target!r}: expected one that is known',
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
            found = [
                (group.failure_domain, [vm.vm_id for vm in group.members])
                for group in site.groups
                if group.group_id == request.target
            ]
            return (*found, ('', ()))[0]
        hit = [
            vm for vm in site.listed if covers(request.kind, request.target, vm)
        ]
        vms = [vm.vm_id for vm in hit]
        return (*(vm.failure_domain for vm in hit), '')[0], vms

    async def _write(self, stop: Stop) -> bool:
        """Write a stop; return whether it is in, not another one."""
        sequence_key = f'{SEQUENCE_PREFIX}{stop.failure_domain}'
        row = await self.platform.read(sequence_key)
        held = await self.platform.read(stop.key)
        last = 0 if row is None else int(str(row.fields['last']))
        numbered = replace(stop, sequence=stop.sequence or last + 1)
        transaction = Transaction(
            (
                Condition(sequence_key, 0 if row is None else row.revision),
                Condition(stop.key, 0 if held is None else held.revision),
            ),
            (
                Write(sequence_key, {'last': last + 1}),
                Write(stop.key, stop_to_fields(numbered)),
            ),
        )
        try:
            await retry_platform_call(lambda: self.platform.commit(transaction))
        except Conflict:
            # Either another operator came first, or a repeat after a lost
            # answer: the next look at the rows tells.
            return False
        except OutcomeUnknown as unknown:
            raise StopUndecided(f'stop {stop.stop_id}: {unknown}') from unknown
        return True


def _check_capacity(request: StopRequest, effect: StopEffect) -> None:
    if not effect.lost or request.accepts_loss:
        return
    hit = len(effect.groups)
    lost = effect.lost
    serving = effect.serving
    raise StopBeyondCapacity(
        f'the stop takes out {hit} of {serving} groups of the failure domain '
        f'and {lost} of them cannot be replaced from spare VMs',
    )


def _adds_consent(request: StopRequest, known: Stop) -> bool:
    return request.accepts_loss and not known.accepts_loss


def _consented(known: Stop) -> Stop:
    return replace(known, accepts_loss=True)


def _find(stops: Iterable[Stop], stop_id: str) -> Stop | None:
    return next((stop for stop in stops if stop.stop_id == stop_id), None)


def _order(stop: Stop) -> tuple[str, int]:
    return (stop.failure_domain, stop.sequence)
