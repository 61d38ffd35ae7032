"""Plain (non-model) services: choice of endpoints, and retries."""

import random
from collections.abc import Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import unquote

from ..errors import Ran, RudderError
from ..process.clock import Clock
from ..process.engines import (
    EngineAnswer,
    UpstreamLost,
    UpstreamRefused,
    UpstreamUnreachable,
)
from ..process.metrics import Metrics
from ..version.document import PlainDeployment, PlainEndpoint, Service
from ..version.holder import Version, VersionHolder
from .answer import AnswerHead, Sink
from .caller import BadRequest, UnknownService, deadline_s, is_idempotent
from .dispatch import DispatchRecord
from .execution import PLAIN_PREFIX
from .servicecall import ServiceCall

MAX_ATTEMPTS = 3
UNREACHABLE_BACKOFF_S = 5

# Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that this proxy
# sets or consumes itself.
_NOT_FORWARDED = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


class DeadlinePassed(RudderError):
    """The request's deadline passed before it could be sent."""

    code = 'deadline_passed'
    status = 504
    default_remedy = 'see ran: repeat only what did not run or may repeat'


class NoPlainEndpoint(RudderError):
    """No endpoint of the service could be reached."""

    code = 'no_endpoint_reachable'
    status = 503
    ran = Ran.NO
    default_remedy = 'repeat after the time in Retry-After'


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """One attempt of a call at an endpoint of a plain service."""

    url: str
    method: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float
    may_repeat: bool


class PlainClient(Protocol):
    """Sends calls to plain services, each at most once."""

    def send(
        self,
        request: PlainRequest,
        dispatch: DispatchRecord,
        attempt: int,
    ) -> AbstractAsyncContextManager[EngineAnswer]:
        """Send one attempt.

        Raises
        ======
        UpstreamUnreachable
            No connection was made, so no byte was sent.
        UpstreamLost
            The connection failed after the first byte.
        """


@dataclass(frozen=True, slots=True)
class _Target:
    """The endpoints of a call, and whether it may be sent again."""

    service_name: str
    path: str
    endpoints: Sequence[PlainEndpoint]
    may_repeat: bool


@dataclass(slots=True)
class PlainExecution:
    """Runs calls to plain services; there is one instance per process."""

    client: PlainClient
    holder: VersionHolder
    clock: Clock
    metrics: Metrics
    rng: random.Random
    failure_domain: str
    unreachable_until: dict[str, float] = field(default_factory=dict)

    async def execute(
        self,
        call: ServiceCall,
        dispatch: DispatchRecord,
        sink: Sink,
    ) -> None:
        """Run a call and send its answer to a sink.

        Explanation
        ===========
        If an endpoint is unreachable, the next one is tried. After a lost
        attempt the call is sent again only if it may repeat and nothing of
        the answer has been forwarded.
        """
        target = find_target(call, self.holder.current)
        deadline = call.arrived_at + deadline_s(call.headers)
        relay = _AnswerRelay(sink)
        ordered = self._order_endpoints(target.endpoints)[:MAX_ATTEMPTS]
        for attempt, endpoint in enumerate(ordered, 1):
            remaining_s = deadline - self.clock.monotonic()
            if remaining_s <= 0:
                raise DeadlinePassed(
                    'the deadline passed before the call was sent',
                )
            request = _request(call, target, endpoint, remaining_s)
            error = await self._attempt(request, dispatch, attempt, relay)
            if error is None:
                return
            self._raise_unless_retryable(
                error,
                endpoint,
                target,
                dispatch,
                attempt,
                relay,
            )
        raise NoPlainEndpoint(
            f'no endpoint of {target.service_name} could be reached',
            retry_after=1,
        )

    def _order_endpoints(
        self,
        endpoints: Sequence[PlainEndpoint],
    ) -> Sequence[PlainEndpoint]:
        now = self.clock.monotonic()
        return sorted(
            endpoints,
            key=lambda endpoint: (
                self.unreachable_until.get(endpoint.url, 0) > now,
                endpoint.failure_domain != self.failure_domain,
                self.rng.random(),
            ),
        )

    async def _attempt(
        self,
        request: PlainRequest,
        dispatch: DispatchRecord,
        attempt: int,
        relay: '_AnswerRelay',
    ) -> RudderError | None:
        dispatch.open(attempt)
        try:
            async with self.client.send(request, dispatch, attempt) as answer:
                dispatch.note_answer()
                await relay.run(answer)
        except (UpstreamLost, UpstreamRefused, UpstreamUnreachable) as error:
            return error
        return None

    def _raise_unless_retryable(
        self,
        error: RudderError,
        endpoint: PlainEndpoint,
        target: _Target,
        dispatch: DispatchRecord,
        attempt: int,
        relay: '_AnswerRelay',
    ) -> None:
        self.metrics.count('plain_lost', code=error.code)
        if isinstance(error, UpstreamUnreachable):
            until = self.clock.monotonic() + UNREACHABLE_BACKOFF_S
            self.unreachable_until[endpoint.url] = until
            dispatch.note_not_run(attempt)
            return
        if relay.has_begun or not target.may_repeat:
            raise error


@dataclass(slots=True)
class _AnswerRelay:
    """Forwards the answer of an attempt to a sink."""

    sink: Sink
    has_begun: bool = False

    async def run(self, answer: EngineAnswer) -> None:
        self.has_begun = True
        headers = end_to_end(answer.headers)
        await self.sink.begin(AnswerHead(answer.status, headers))
        async for chunk in answer.chunks():
            await self.sink.send(chunk)


def find_target(call: ServiceCall, version: Version) -> _Target:
    """Return the endpoints and the path of a call.

    Raises
    ======
    UnknownService
        The workspace has no plain service of that name.
    BadRequest
        The path has dot segments or a header is malformed.
    """
    name, _, rest = call.target.removeprefix(PLAIN_PREFIX).partition('/')
    services = version.rendered.services_by_workspace[call.workspace]
    service = services.get(name)
    deployments = version.rendered.document.deployments
    deployment = None if service is None else deployments[service.deployment]
    _check_path(rest)
    if service is None or not isinstance(deployment, PlainDeployment):
        raise UnknownService(f'got {name!r}: expected a plain service')
    return _Target(
        service_name=name,
        path=f'/{rest}',
        endpoints=deployment.endpoints,
        may_repeat=_may_repeat(call, service, f'/{rest}'),
    )


def check_call(call: ServiceCall, version: Version) -> None:
    """Raise an error if a call cannot be served.

    Raises
    ======
    UnknownService
        The workspace has no plain service of that name.
    BadRequest
        A header or the path is malformed.
    """
    find_target(call, version)
    deadline_s(call.headers)


def _check_path(path: str) -> None:
    segments = unquote(path.partition('?')[0]).split('/')
    if {'.', '..'}.intersection(segments):
        raise BadRequest(
            'got a path with dot segments: expected a normalised path',
        )


def _may_repeat(call: ServiceCall, service: Service, path: str) -> bool:
    may_repeat = is_idempotent(call.headers, service, path.partition('?')[0])
    return may_repeat and not call.key


def end_to_end(headers: Mapping[str, str]) -> Mapping[str, str]:
    """Return the headers without those that a proxy must not forward.

    Examples
    ========
    >>> end_to_end({'Connection': 'close, X-Hop', 'X-Hop': '1', 'A': '2'})
    {'A': '2'}
    """
    hop_by_hop = {
        name.strip().lower()
        for header, header_value in headers.items()
        if header.lower() == 'connection'
        for name in header_value.split(',')
    }
    return {
        str(name): header_value
        for name, header_value in headers.items()
        if name.lower() not in _NOT_FORWARDED | hop_by_hop
    }


def _request(
    call: ServiceCall,
    target: _Target,
    endpoint: PlainEndpoint,
    timeout_s: float,
) -> PlainRequest:
    base = endpoint.url.rstrip('/')
    return PlainRequest(
        url=f'{base}{target.path}',
        method=call.method,
        headers={
            **end_to_end(call.headers),
            'Rudder-Request-Id': call.request_id,
            'Rudder-Workspace': call.workspace,
        },
        body=call.body,
        timeout_s=timeout_s,
        may_repeat=target.may_repeat,
    )
