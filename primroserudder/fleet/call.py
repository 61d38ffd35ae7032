"""A caller's request while it is served."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import xxhash
from multidict import CIMultiDictProxy

from ..platform.headers import RequestMetadata
from ..request.dispatch import DispatchRecord
from .cost import CostedRequest
from .crashes.suspects import suspects_of
from .directorynames import pool_name
from .memory import Holding
from .model import Target
from .regions import allowed_regions
from .retries import RetryState
from .routes import Destination


@dataclass(slots=True, eq=False)
class Call:
    """A request that was read from a caller, and its state so far.

    Explanation
    ===========
    ``received_at`` and ``deadline_at`` are times of the event loop, in
    seconds. ``last_event_id`` is the id of the last event that the caller
    received. ``tried_engines`` holds the ids of the engines of all earlier
    attempts. ``digest`` names the content: path, workspace and body,
    which stay the same when a caller sends a request again under another id
    or key. ``suspects`` holds the keys of all that may crash engines: the
    digest, and the shared parts of the prompt. ``reserved_target`` has a slot
    for the next attempt; ``is_leaving_attempt`` is true while a running
    attempt looks for one. ``is_forwarded`` is true if another router sent it.
    ``regions`` are the regions that it is bound to, ``None`` if to none.
    ``is_caller_blocked`` returns whether the caller has not accepted all that
    was sent to it.
    ``cost`` is ``None`` if targets are chosen by the share of slots in use.
    """

    method: str
    raw_path: str
    headers: CIMultiDictProxy[str]
    body: bytes
    metadata: RequestMetadata
    destination: Destination
    received_at: float
    deadline_at: float
    retry_state: RetryState
    dispatch: DispatchRecord
    last_event_id: str = ''
    tried_engines: set[str] = field(default_factory=set)
    reserved_target: Target | None = None
    is_leaving_attempt: bool = False
    is_forwarded: bool = False
    holding: Holding = field(default_factory=Holding)
    is_caller_blocked: Callable[[], bool] = bool
    cost: CostedRequest | None = None
    digest: str = field(init=False)
    suspects: tuple[str, ...] = field(init=False)
    regions: frozenset[str] | None = field(init=False)

    def __post_init__(self) -> None:
        """Compute the digest of the content, and what binds the request."""
        hasher = xxhash.xxh3_64(self.raw_path.encode())
        hasher.update(self.destination.workspace.name.encode())
        hasher.update(self.body)
        self.digest = hasher.hexdigest()
        self.suspects = suspects_of(self.digest, self.metadata.shared_parts)
        self.regions = allowed_regions(
            self.destination.route, self.destination.workspace
        )

    @contextmanager
    def leaving_attempt(self) -> Iterator[None]:
        """Mark the request as one that looks for another attempt."""
        self.is_leaving_attempt = True
        try:
            yield
        finally:
            self.is_leaving_attempt = False

    def take_reserved_target(self) -> Target | None:
        """Return the reserved target, if any, which is then no longer so."""
        target = self.reserved_target
        self.reserved_target = None
        return target

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
        """Return the name of the pool of slots that this request needs."""
        service = self.destination.service
        return pool_name(
            service.name, self.metadata.model if service.engine else ''
        )
