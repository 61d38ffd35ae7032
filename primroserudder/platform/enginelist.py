"""Decoding of the engine list's entries and of engine reports."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

from ..fleet.model import (
    ColdTime,
    Engine,
    GroupState,
    Membership,
    is_address,
)
from ..process.platform import Row

STATE_READY = 'ready'
STATE_DRAINING = 'draining'
# No engine takes longer than this to become warm.
MAX_COLD_S = 60.0
MILLISECONDS_PER_SECOND = 1000
# More than any engine has, and few enough to be summed over all of them.
MAX_SLOTS = 1_000_000


def _check_address(text: str) -> str:
    """Return an address that a connection can be made to.

    Raises
    ======
    ValueError
        The text is no IPv4 address with a port.
    """
    if not is_address(text):
        raise ValueError(f'{text!r} is no IPv4 address with a port')
    return text


Address = Annotated[str, AfterValidator(_check_address)]


class _Wire(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore', strict=True)


class _Group(_Wire):
    name: str = Field(alias='Name')
    epoch: int
    rank: int
    state: str = Field(alias='State')


class _Entry(_Wire):
    service: str = Field(alias='Service')
    address: Address = Field(alias='Address')
    zone: str = Field(alias='Zone')
    slots: int = Field(alias='Slots', default=1, ge=0, le=MAX_SLOTS)
    state: str = Field(alias='State')
    fabric_domain: str | int = Field(alias='Domain', default='')
    staged: tuple[str, ...] = Field(alias='Staged', default=(), strict=False)
    group: _Group | None = None
    # Without it, a restart of the engine can't be told from its going on.
    born: int = Field(ge=1)
    # Any value, so that a malformed one leaves the other fields readable.
    cold_remaining_ms: object = Field(alias='ColdRemainingMs', default=None)


class _Report(_Wire):
    staged: tuple[str, ...] = Field(alias='Staged', default=(), strict=False)
    group: _Group | None = None
    # Number of orders accepted since the engine started.
    orders: int = Field(alias='Sequence', default=0)
    queued: int = Field(alias='Queued', default=0)
    running: int = Field(alias='Active', default=0)
    kv_used: int = Field(alias='KvUsed', default=0)
    # Slowdown factor; at 2 the engine takes twice as long as normal.
    pace: float = Field(default=1, strict=False)
    born: int = 0


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report about itself, some hundred milliseconds old."""

    membership: Membership | None
    staged: tuple[str, ...]
    orders_accepted: int
    queued: int
    running: int
    kv_used: int
    pace: float
    born_ms: int


def decode_engine(
    engine_id: str,
    fields: Mapping[str, object],
) -> Engine | None:
    """Return a listed engine, or ``None`` if the entry is invalid.

    Examples
    ========
    >>> decode_engine('i-1', {'Service': 7}) is None
    True
    """
    try:
        entry = _Entry.model_validate(fields)
    except ValidationError:
        return None
    if entry.state not in {STATE_READY, STATE_DRAINING}:
        return None
    cold_remaining_s, cold_time = _cold_time(entry.cold_remaining_ms)
    return Engine(
        engine_id=engine_id,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        is_draining=entry.state == STATE_DRAINING,
        fabric_domain=str(entry.fabric_domain),
        staged=entry.staged,
        membership=_membership(entry.group),
        born_ms=entry.born,
        cold_remaining_s=cold_remaining_s,
        cold_time=cold_time,
    )


def engine_row_age(row: Row) -> tuple[int, ...]:
    """Return what orders an entry's contents by age: start and heartbeat.

    Explanation
    ===========
    ``Sequence`` counts the heartbeats of an engine's life here. A field that
    is missing or no number counts as zero.
    """
    fields = (row.fields.get(name) for name in ('born', 'Sequence'))
    return tuple(number if isinstance(number, int) else 0 for number in fields)


def decode_report(fields: object) -> EngineReport | None:
    """Return an engine's report, or ``None`` if it can't be decoded."""
    try:
        report = _Report.model_validate(fields)
    except ValidationError:
        return None
    return EngineReport(
        membership=_membership(report.group),
        staged=report.staged,
        orders_accepted=report.orders,
        queued=report.queued,
        running=report.running,
        kv_used=report.kv_used,
        pace=report.pace,
        born_ms=report.born,
    )


def _cold_time(remaining_ms: object) -> tuple[float, ColdTime]:
    """Return how long an engine stays cold, and whether that was readable.

    Examples
    ========
    >>> [_cold_time(each)[0] for each in (1500, None, -1, 'soon', True, 10**9)]
    [1.5, 0, 0, 0, 0, 60.0]
    """
    if remaining_ms is None:
        return 0, ColdTime.ABSENT
    if isinstance(remaining_ms, bool):
        return 0, ColdTime.MALFORMED
    if not isinstance(remaining_ms, int | float) or not remaining_ms >= 0:
        return 0, ColdTime.MALFORMED
    if remaining_ms > MAX_COLD_S * MILLISECONDS_PER_SECOND:
        return MAX_COLD_S, ColdTime.TOO_LONG
    return remaining_ms / MILLISECONDS_PER_SECOND, ColdTime.READ


def _membership(group: _Group | None) -> Membership | None:
    if group is None or not group.name:
        return None
    is_known = group.state in set(GroupState)
    state = GroupState(group.state) if is_known else GroupState.UNKNOWN
    return Membership(group.name, group.epoch, group.rank, state)
