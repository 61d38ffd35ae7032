"""The interface to the platform's services.

Explanation
===========
The platform provides a transactional table, an object store and a list of
VMs that lags behind their real state. This module defines the interface and
its types; an adapter in ``connection`` implements the platform's protocol.
"""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from ..errors import RudderError

JsonObject = Mapping[str, object]


class PlatformUnavailable(RudderError):
    """The platform gave no answer, and the operation had no effect."""

    code = 'platform_unavailable'
    status = 503
    default_remedy = 'wait until the platform answers again and repeat'


class OutcomeUnknown(RudderError):
    """The answer to a write was lost; it may or may not have taken effect."""

    code = 'platform_outcome_unknown'
    status = 503
    default_remedy = 'read the row back before deciding anything'


class Conflict(RudderError):
    """A condition of the transaction did not hold; nothing was written."""

    code = 'conflict'
    status = 409
    default_remedy = 'read the rows again and decide anew'


class CallRefused(RudderError):
    """The platform refuses this call, and will refuse it again."""

    code = 'platform_call_refused'
    default_remedy = 'split the call, shorten its rows or check their tables'


class ObjectMissing(RudderError):
    """The object store holds no object of that name."""

    code = 'object_missing'
    status = 404
    default_remedy = 'check the name; the object may not be written yet'


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table; ``revision`` rises with each write."""

    key: str
    revision: int
    fields: JsonObject


@dataclass(frozen=True, slots=True)
class Condition:
    """The revision that a row must have; zero means that it is absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """A row's new fields; ``None`` removes the row."""

    key: str
    fields: JsonObject | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if all conditions hold."""

    conditions: Sequence[Condition]
    writes: Sequence[Write]


class VmState(enum.StrEnum):
    """A VM's state in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class VmListing:
    """A VM as the platform's lagging list shows it."""

    vm_id: str
    address: str
    failure_domain: str
    fabric_domain: str
    pool: str
    state: VmState


class PlatformClient(Protocol):
    """The operations that the platform provides."""

    async def read(self, key: str) -> Row | None:
        """Return the row, or ``None`` if there is none."""

    async def scan(self, prefix: str) -> Sequence[Row]:
        """Return the rows whose keys begin with the prefix, by key."""

    async def commit(self, transaction: Transaction) -> None:
        """Apply the transaction.

        Raises
        ======
        Conflict
            A condition did not hold; nothing was written.
        PlatformUnavailable
            Nothing was written.
        CallRefused
            Nothing was written, as the transaction is over a limit.
        OutcomeUnknown
            The answer was lost; the writes may or may not be in effect.
        """

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object; repeating it with the same body is harmless."""

    async def get_object(self, name: str) -> bytes:
        """Return an object's body, or raise ``ObjectMissing``."""

    async def list_vms(self) -> Sequence[VmListing]:
        """Return the platform's list of live and leaving VMs."""
