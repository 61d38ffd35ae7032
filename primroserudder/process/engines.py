"""Model engines as the system uses them.

Explanation
===========
An engine is the model process on one upstream VM. This module holds the
typed messages and the interface; an adapter in ``connection`` speaks the
engines' protocol.
"""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import Ran, RudderError


class UpstreamRefused(RudderError):
    """The upstream says by its protocol that it did not run the request."""

    code = 'upstream_refused'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat the request'


class UpstreamUnreachable(RudderError):
    """No connection was made, so that no byte of the request was sent."""

    code = 'upstream_unreachable'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat the request'


class ConnectionRefused(UpstreamUnreachable):
    """The VM answers, but nothing listens at the engine's port."""

    code = 'upstream_connection_refused'


class UpstreamLost(RudderError):
    """The connection failed after bytes of the request were sent."""

    code = 'upstream_lost'
    status = 502
    default_remedy = 'the request may have run; repeat it only if idempotent'


class OrderRefused(RudderError):
    """The engine refused an order, for example for its fencing number."""

    code = 'order_refused'
    status = 409
    ran = Ran.NO
    default_remedy = 'read the group back; another controller may be in charge'


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """What a VM shall serve, as a controller orders it.

    Explanation
    ===========
    An order is idempotent: the same order twice has the effect of one. It
    expires ``valid_for`` seconds after the controller sent it. With ``drain``
    the engine finishes what it runs and takes no new work.
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
    """Load as an engine reports it, with a lag.

    Explanation
    ===========
    ``token_backlog`` counts the words of prompts that wait for their prefill.
    """

    running: int = 0
    waiting: int = 0
    token_backlog: int = 0
    slots: int = 1


LOAD_HEADER = 'Engine-Load'
LOAD_FIELDS = 4


def load_to_header(load: EngineLoad) -> str:
    """Return a load as it travels with a response.

    Examples
    ========
    >>> load_to_header(EngineLoad(running=3, slots=8))
    '3 0 0 8'
    """
    return f'{load.running} {load.waiting} {load.token_backlog} {load.slots}'


def load_from_header(headers: Mapping[str, str]) -> EngineLoad | None:
    """Return the load that a response carries, if it carries one.

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
    """What an engine says of itself.

    Explanation
    ===========
    ``incarnation`` changes with each start of the engine's process. The
    order's fields are empty while the engine holds no order; ``ready`` is
    true once the ordered model is loaded.
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
    """One attempt of a request at the leading VM of a group."""

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
    """A change of an engine's prefix cache; numbers may have gaps."""

    number: int
    stored: Sequence[str] = ()
    evicted: Sequence[str] = ()


class EngineAnswer(Protocol):
    """The answer to one attempt, as it arrives."""

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
            The body ended before its end.
        """


class EngineClient(Protocol):
    """Everything that the system asks of engines, by VM address."""

    async def status(self, address: str) -> EngineStatus:
        """Return the engine's own view of itself."""

    async def order(self, address: str, order: EngineOrder) -> EngineStatus:
        """Give an order and return the engine's state after it."""

    def generate(
        self,
        address: str,
        call: EngineCall,
    ) -> AbstractAsyncContextManager[EngineAnswer]:
        """Send one attempt; leaving the context cancels what is running.

        Raises
        ======
        UpstreamUnreachable
            No byte was sent.
        UpstreamRefused
            The engine says that it did not run the request.
        UpstreamLost
            The connection failed after the first byte.
        """

    async def cancel(self, address: str, request_id: str) -> None:
        """Stop all attempts of a request at the engine."""

    async def cache_events(
        self,
        address: str,
        after: int,
    ) -> Sequence[CacheEvent]:
        """Return the events of the prefix cache after a number."""

    async def export_cache(self, address: str, request_id: str) -> bytes:
        """Return the KV cache of a request, paused at its position."""

    async def import_cache(
        self,
        address: str,
        request_id: str,
        cache: bytes,
    ) -> None:
        """Give an engine the KV cache of a request that will resume there."""
