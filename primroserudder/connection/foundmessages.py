"""What a prober found, as a message and back."""

from functools import singledispatch

from ..process.digest import Gone, Observation, RoutingRight, Withdrawn
from ..process.engines import EngineLoad, EngineStatus
from ..wire import evidence_pb2 as wire


@singledispatch
def put_found(found: Observation, message: wire.Change) -> None:
    """Put what was found into a message."""
    raise TypeError(f'got {found!r}: expected something that can be told')


@put_found.register
def _put_status(found: EngineStatus, message: wire.Change) -> None:
    load = found.load
    status = wire.VmStatus(
        incarnation=found.incarnation,
        group_id=found.group_id,
        generation=found.generation,
        model=found.model,
        model_version=found.model_version,
        members=found.members,
        fencing=found.fencing,
        ready=found.ready,
        draining=found.draining,
        running=load.running,
        waiting=load.waiting,
        token_backlog=load.token_backlog,
        slots=load.slots,
    )
    message.status.CopyFrom(status)


@put_found.register
def _put_right(found: RoutingRight, message: wire.Change) -> None:
    message.right = found.generation


@put_found.register
def _put_gone(found: Gone, message: wire.Change) -> None:
    message.gone = True


@put_found.register
def _put_withdrawn(found: Withdrawn, message: wire.Change) -> None:
    message.withdrawn = True


def found_of(change: wire.Change) -> Observation:
    """Return what a message says was found."""
    kind = change.WhichOneof('found')
    if kind == 'right':
        return RoutingRight(change.right)
    if kind == 'gone':
        return Gone()
    if kind == 'status':
        return _status(change.name, change.status)
    return Withdrawn()


def _status(vm_id: str, status: wire.VmStatus) -> EngineStatus:
    return EngineStatus(
        vm_id=vm_id,
        incarnation=status.incarnation,
        group_id=status.group_id,
        generation=status.generation,
        model=status.model,
        model_version=status.model_version,
        members=tuple(status.members),
        fencing=status.fencing,
        ready=status.ready,
        draining=status.draining,
        load=EngineLoad(
            status.running,
            status.waiting,
            status.token_backlog,
            status.slots,
        ),
    )
