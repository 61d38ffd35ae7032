"""One caller's request while it is served."""

import asyncio
from dataclasses import dataclass, field

from multidict import CIMultiDictProxy

from ..platform.headers import RequestMetadata
from ..request.dispatch import DispatchRecord
from .directory import pool_name
from .retries import RetryState
from .routes import Destination


@dataclass(slots=True, eq=False)
class Call:
    """A request that was read, and how far it has come.

    Explanation
    ===========
    Times are the event loop's. ``last_event_id`` moves on with each event
    that was passed to the caller.
    """

    method: str
    raw_path: str
    headers: CIMultiDictProxy[str]
    body: bytes
    facts: RequestMetadata
    destination: Destination
    received_at: float
    deadline_at: float
    retry_state: RetryState
    dispatch: DispatchRecord
    last_event_id: str = ''
    tried: set[str] = field(default_factory=set)

    @property
    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_at - asyncio.get_running_loop().time()

    @property
    def age_s(self) -> float:
        """Return the seconds since the request was read."""
        return asyncio.get_running_loop().time() - self.received_at

    @property
    def pool(self) -> str:
        """Return the name of the places that this request waits for."""
        service = self.destination.service
        return pool_name(
            service.name, self.facts.model if service.engine else ''
        )
