"""Interface and messages of the model engines.

Explanation
===========
An engine is the model process on one upstream VM. This module defines the
typed messages and the client interface; an adapter in ``connection``
implements the engines' protocol.
"""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import Ran, RudderError


class UpstreamRefused(RudderError):
    """The upstream reported that it did not run the request."""

    code = 'upstream_refused'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat the request'


class UpstreamUnreachable(RudderError):
    """No connection was made, so no byte of the request was sent."""

    code = 'upstream_unreachable'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat the request'


class ConnectionRefused(UpstreamUnreachable):
    """The VM is reachable, but nothing listens on the engine's port."""

    code = 'upstream_connection_refused'


class UpstreamLost(RudderError):
    """The connection failed after bytes of the request were sent."""

    code = 'upstream_lost'
    status = 502
    default_remedy = 'the request may have run; repeat it only if idempotent'


class OrderRefused(RudderError):
    """The engine refused an order, for example an old fencing token."""

    code = 'order_refused'
    status = 409
    ran = Ran.NO
    default_remedy = 'read the group back; another controller may be in charge'


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order from a controller that says what a VM has to serve.

    Explanation
    ===========
    An order is idempotent: sending it twice has the same effect as sending
    it once. It expires ``valid_for`` seconds after the controller sent it.
    With ``drain`` the engine finishes its requests and accepts no new ones.
    """

    group_id: str
    generation: int
    model: str
    model_version: str
    members: Sequence[str]
    rank: int
    fencing: int
    valid_for: float
    adapters: Sequence[str] = ()
    drain: bool = False


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """The load that an engine reports, with some delay.

    Explanation
    ===========
    ``token_backlog`` is the number of words in prompts that wait for prefill.
    """

    running: int = 0
    waiting: int = 0
    token_backlog: int = 0
    slots: int = 1


LOAD_HEADER = 'Engine-Load'
LOAD_FIELDS = 4


def load_to_header(load: EngineLoad) -> str:
    """Return a load as the value of the ``Engine-Load`` header.

    Examples
    ========
    >>> load_to_header(EngineLoad(running=3, slots=8))
    '3 0 0 8'
    """
    return f'{load.running} {load.waiting} {load.token_backlog} {load.slots}'


def load_from_header(headers: Mapping[str, str]) -> EngineLoad | None:
    """Return the load in a response's headers, ``None`` if there is none.

    Examples
    ========
    >>> load_from_header({'Engine-Load': '3 0 0 8'}).running
    3
    >>> load_from_header({'Engine-Load': 'much'})
    """
    fields = headers.get(LOAD_HEADER, '').split()
    if len(fields) != LOAD_FIELDS or not all(map(str.isdecimal, fields)):
        return None
    return EngineLoad(*map(int, fields))


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """The status that an engine reports.

    Explanation
    ===========
    ``incarnation`` changes with each start of the engine's process. The
    fields that repeat the order are empty while the engine has no order.
    ``ready`` is true once the ordered model is loaded.
    """

    vm_id: str
    incarnation: str
    group_id: str = ''
    generation: int = 0
    model: str = ''
    model_version: str = ''
    members: Sequence[str] = ()
    fencing: int = 0
    ready: bool = False
    draining: bool = False
    load: EngineLoad = field(default_factory=EngineLoad)


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One attempt of a request, sent to the leader VM of a group."""

    request_id: str
    attempt: int
    group_id: str
    generation: int
    path: str
    body: bytes
    created: int = 0
    priority: int = 0
    deadline: float = 0
    resume_from: int = 0


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an engine's prefix cache; ``number`` may have gaps."""

    number: int
    stored: Sequence[str] = ()
    evicted: Sequence[str] = ()


class EngineAnswer(Protocol):
    """The streamed answer to one attempt."""

    @property
    def status(self) -> int:
        """HTTP status of the answer."""

    @property
    def headers(self) -> Mapping[str, str]:
        """End-to-end headers of the answer."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ======
        UpstreamLost
            The connection ended before the body was complete.
        """


class EngineClient(Protocol):
    """Client for the engines, which are addressed by VM."""

    async def status(self, address: str) -> EngineStatus:
        """Return the status that the engine reports."""

    async def order(self, address: str, order: EngineOrder) -> EngineStatus:
        """Send an order and return the engine's status after it."""

    def generate(
        self,
        address: str,
        call: EngineCall,
    ) -> AbstractAsyncContextManager[EngineAnswer]:
        """Send one attempt; leaving the context cancels it.

        Raises
        ======
        UpstreamUnreachable
            No byte was sent.
        UpstreamRefused
            The engine reported that it did not run the request.
        UpstreamLost
            The connection failed after the first byte.
        """

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel all attempts of a request at the engine."""

    async def cache_events(
        self,
        address: str,
        after: int,
    ) -> Sequence[CacheEvent]:
        """Return the prefix cache events that follow the number ``after``."""

    async def export_cache(self, address: str, request_id: str) -> bytes:
        """Return the KV cache of a request, paused at its current position."""

    async def import_cache(
        self,
        address: str,
        request_id: str,
        cache: bytes,
    ) -> None:
        """Send an engine the KV cache of a request that will resume there."""
