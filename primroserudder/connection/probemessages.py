"""Conversion of probe results to protobuf messages and back."""

from functools import singledispatch

from ..process.digest import Gone, Observation, RoutingRight, Withdrawn
from ..process.engines import EngineLoad, EngineStatus
from ..wire import evidence_pb2 as wire


@singledispatch
def set_probe_result(result: Observation, message: wire.Change) -> None:
    """Set the probe result of a message.

    Raises
    ======
    TypeError
        The type of the result has no field in the message.
    """
    raise TypeError(f'got {result!r}: expected a probe result')


@set_probe_result.register
def _set_status(result: EngineStatus, message: wire.Change) -> None:
    load = result.load
    status = wire.VmStatus(
        incarnation=result.incarnation,
        group_id=result.group_id,
        generation=result.generation,
        model=result.model,
        model_version=result.model_version,
        members=result.members,
        fencing=result.fencing,
        ready=result.ready,
        draining=result.draining,
        running=load.running,
        waiting=load.waiting,
        token_backlog=load.token_backlog,
        slots=load.slots,
    )
    message.status.CopyFrom(status)


@set_probe_result.register
def _set_right(result: RoutingRight, message: wire.Change) -> None:
    message.right = result.generation


@set_probe_result.register
def _set_gone(result: Gone, message: wire.Change) -> None:
    message.gone = True


@set_probe_result.register
def _set_withdrawn(result: Withdrawn, message: wire.Change) -> None:
    message.withdrawn = True


def probe_result_from_message(change: wire.Change) -> Observation:
    """Return the probe result in a message."""
    kind = change.WhichOneof('found')
    if kind == 'right':
        return RoutingRight(change.right)
    if kind == 'gone':
        return Gone()
    if kind == 'status':
        return _status_from_message(change.name, change.status)
    return Withdrawn()


def _status_from_message(vm_id: str, status: wire.VmStatus) -> EngineStatus:
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
