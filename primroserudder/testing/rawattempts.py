"""Attempts at a raw peer, for tests of how responses are read."""

from dataclasses import dataclass, field
from unittest import mock

from multidict import CIMultiDict

from ..fleet import attempt as attempt_module
from ..fleet.attempt import Attempt, AttemptResult, StreamSink
from ..fleet.events import Event
from ..fleet.model import RequestKind, Target
from ..httpclient import open_session
from .fleetdata import call, route
from .rawpeer import RawPeer, Script, raw_peer

ATTEMPT_ID = 'one'
HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'X-Primroserudder-Attempt-Id: one\r\n'
    b'X-Primroserudder-Response-Seal: seal\r\n'
)
CHUNKED_HEAD = b''.join((HEAD, b'Transfer-Encoding: chunked\r\n\r\n'))
EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
DEADLINE_S = 3.0
# A busy machine may need longer to connect than an attempt allows.
CONNECT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class RawOutcome:
    """How an attempt ended, what its caller got, and what the peer sent."""

    result: AttemptResult
    caller_bytes: bytes
    peer: RawPeer

    @property
    def body(self) -> bytes | None:
        """Return the body of the complete response, if there is one."""
        response = self.result.response
        return None if response is None else response.body


@dataclass(slots=True)
class _Caller:
    """A caller that takes what it is sent."""

    octets: bytearray = field(default_factory=bytearray)

    async def start(self, _status: int, _headers: CIMultiDict[str]) -> None:
        """Take the start of a stream."""

    async def send_event(self, event: Event) -> None:
        """Take one event."""
        self.octets += event.octets


async def raw_attempt(
    script: Script,
    *,
    is_stream: bool = False,
    method: str = 'POST',
    deadline_s: float = DEADLINE_S,
) -> RawOutcome:
    """Send one request to a raw peer and return how the attempt ended."""
    kind = RequestKind.STREAM if is_stream else RequestKind.IDEMPOTENT
    request = call(
        route(kind=kind, timeout_s=deadline_s),
        {'X-Primroserudder-Attempt-Id': ATTEMPT_ID},
        b'',
    )
    request.method = method
    caller = _Caller()
    async with (
        raw_peer(script) as peer,
        open_session(deadline_s, reuses_connections=False) as session,
    ):
        patch_connect = mock.patch.object(
            attempt_module, 'CONNECT_TIMEOUT_S', CONNECT_TIMEOUT_S
        )
        attempt = Attempt(
            session,
            request,
            Target('i-1', peer.address, 'fd-1', 4),
            StreamSink(caller.start, caller.send_event),
            lambda *_: None,
        )
        with patch_connect:
            outcome = await attempt.run()
        return RawOutcome(outcome, bytes(caller.octets), peer)
