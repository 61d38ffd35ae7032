"""A caller's request in the form in which entries pass it on."""

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
    """A request of an authenticated workspace.

    Explanation
    ===========
    ``target`` is the path with its query, as the caller sent it, and
    ``arrived_at`` a time of this process's clock.
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
        """Return the idempotency key, empty if there is none."""
        return self.headers.get(KEY_HEADER, '')

    @property
    def digest(self) -> str:
        """Return what tells the request from another under the same key."""
        return request_digest(self.method, self.target, self.body)


def keyed_call(incoming: IncomingRequest, workspace: str) -> ServiceCall:
    """Return a completion as a call that may run at most once."""
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
    """Runs calls by one attempt each."""

    async def execute(
        self,
        call: ServiceCall,
        dispatch: DispatchRecord,
        sink: Sink,
    ) -> None:
        """Run a call through its passage and give the answer to a sink.

        Raises
        ======
        RudderError
            The call was refused or failed; the passage knows whether it ran.
        """
