"""Conversion of probe results to protobuf messages and back."""

from functools import singledispatch

from ..process.digest import Found, Gone, Right, Withdrawn
from ..process.engines import EngineLoad, EngineStatus
from ..wire import evidence_pb2 as wire


@singledispatch
def set_found(found: Found, message: wire.Change) -> None:
    """Set the probe result of a message.

    Raises
    ======
    TypeError
        The type of the result has no field in the message.
    """
    raise TypeError(f'got {found!r}: expected a probe result')


@set_found.register
def _set_status(found: EngineStatus, message: wire.Change) -> None:
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


@set_found.register
def _set_right(found: Right, message: wire.Change) -> None:
    message.right = found.generation


@set_found.register
def _set_gone(found: Gone, message: wire.Change) -> None:
    message.gone = True


@set_found.register
def _set_withdrawn(found: Withdrawn, message: wire.Change) -> None:
    message.withdrawn = True


def found_from_message(change: wire.Change) -> Found:
    """Return the probe result in a message."""
    kind = change.WhichOneof('found')
    if kind == 'right':
        return Right(change.right)
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
