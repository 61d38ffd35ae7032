"""How the build 08c7865 reads messages and rows: a copy that never changes."""

from collections.abc import Mapping
from typing import Annotated

import msgspec
from pydantic import BaseModel, ConfigDict

_PORT = r'(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|\d{1,4})'
Address = Annotated[
    str, msgspec.Meta(pattern=rf'^((\d{{1,3}}\.){{3}}\d{{1,3}}:{_PORT})?$')
]
Rank = Annotated[int, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Key = Annotated[int, msgspec.Meta(ge=0, lt=4_294_967_296)]
MilliRate = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
Speed = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
Direction = Annotated[int, msgspec.Meta(ge=0, le=4)]


class Facts(msgspec.Struct, frozen=True, array_like=True):
    """Facts of a notice."""

    lease_claim: str = ''
    claim_age_ms: Count = 0
    lease_given_up: str = ''
    reaches_store: bool = False
    has_traffic: bool = False
    store_era: int = 0
    versions: dict[str, int] = {}
    silent_heads: tuple[Key, ...] = ()
    broken_groups: tuple[Key, ...] = ()


class Strikes(msgspec.Struct, frozen=True, array_like=True):
    """Strikes of a notice."""

    struck: tuple[str, ...] = ()
    void: tuple[str, ...] = ()


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """A limit in a notice."""

    rate_milli: MilliRate | None = None
    age_s: Count = 0


class LoadPart(msgspec.Struct, frozen=True, array_like=True):
    """A load in a notice."""

    number: Count = 0
    total: Annotated[int, msgspec.Meta(ge=1)] = 1
    running: dict[Key, Count] = {}
    waiting: dict[Key, Count] = {}
    sent: dict[Key, Count] = {}
    looks: dict[Key, Count] = {}
    limits: dict[Key, LimitNews] = {}
    vms: Count = 1


class Notice(msgspec.Struct, frozen=True, array_like=True):
    """A notice."""

    direction: Direction
    incarnation: int
    sequence: int
    failure_domain: str
    speed: Speed = 0
    facts: Facts = Facts()
    strikes: Strikes = Strikes()
    load: LoadPart | None = None
    rank: Rank = 0
    ancestors: tuple[Address, ...] = ()
    backup: Address = ''
    redirect: Address = ''
    is_leaving: bool = False
    origin: Address = ''


class RowMessage(BaseModel):
    """A row of a relayed table."""

    model_config = ConfigDict(frozen=True)

    key: str
    revision: int
    fields: Mapping[str, object]


class TableMessage(BaseModel):
    """A relayed table."""

    model_config = ConfigDict(frozen=True)

    revision: int
    count: int
    era: int = 0
    rows: tuple[RowMessage, ...]
    removed: tuple[str, ...] = ()


class ClaimRow(BaseModel):
    """A row of a group."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    epoch: int
    model: str
    members: tuple[str, ...]
    born: Mapping[str, int] = {}


def read_notice(packet: bytes) -> Notice:
    """Return the notice in a datagram."""
    return msgspec.msgpack.decode(packet, type=Notice)


def read_node(fields: Mapping[str, object]) -> tuple[str, float]:
    """Return a VM's failure domain and speed."""
    speed = fields.get('speed')
    return (
        str(fields.get('domain')),
        float(speed) if isinstance(speed, int | float) else 0,
    )


def read_lease(fields: Mapping[str, object]) -> tuple[str, int, int]:
    """Return a lease's holder, fencing token and era."""
    return (
        str(fields['holder']),
        int(str(fields['fencing'])),
        int(str(fields.get('era', 0))),
    )


def read_strike(fields: Mapping[str, object]) -> float | None:
    """Return when a strike became known, in the store's time."""
    struck_s = fields.get('struck_s')
    return struck_s if isinstance(struck_s, int | float) else None


def read_forwarded(headers: Mapping[str, str]) -> int | None:
    """Return how many attempts a forwarded request has left."""
    text = headers.get('Rudder-Attempts-Left')
    return None if text is None else int(text)
