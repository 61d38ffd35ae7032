"""A caller's request in the form that entries forward to each other."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from .answer import Sink
from .caller import IncomingRequest
from .dispatch import DispatchRecord
from .keyrecord import request_digest

KEY_HEADER = 'Idempotency-Key'


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """An authenticated request to a service.

    Explanation
    ===========
    ``target`` is the path with its query, as the caller sent it.
    ``arrived_at`` is a time of this process's monotonic clock in seconds.
    """

    request_id: str
    workspace: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    arrived_at: float
    created: int

    @property
    def key(self) -> str:
        """Return the idempotency key, or an empty string."""
        return self.headers.get(KEY_HEADER, '')

    @property
    def digest(self) -> str:
        """Return a digest that detects reuse of a key by another request."""
        return request_digest(self.method, self.target, self.body)


def keyed_call(incoming: IncomingRequest, workspace: str) -> ServiceCall:
    """Return a completion as a call that runs at most once."""
    return ServiceCall(
        request_id=incoming.request_id,
        workspace=workspace,
        method='POST',
        target=incoming.path,
        headers=dict(incoming.headers),
        body=incoming.body,
        arrived_at=incoming.arrived_at,
        created=incoming.created,
    )


class Executor(Protocol):
    """Runs calls to services."""

    async def execute(
        self,
        call: ServiceCall,
        dispatch: DispatchRecord,
        sink: Sink,
    ) -> None:
        """Run a call and send its answer to a sink.

        Raises
        ======
        RudderError
            The call was refused or failed; ``dispatch.ran`` states whether it
            ran.
        """
