"""Parsing and validation of a caller's completion request."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import orjson
import xxhash

from ..errors import Ran, RudderError
from ..version.document import Service
from ..version.holder import Version

MAX_SEED = 0x7FFFFFFF
MAX_PRIORITY = 9
DEFAULT_DEADLINE_S = 600.0


class BadRequest(RudderError):
    """The request is malformed."""

    code = 'bad_request'
    status = HTTPStatus.BAD_REQUEST
    ran = Ran.NO
    default_remedy = 'correct the request'


class UnknownService(RudderError):
    """The workspace has no service of that name."""

    code = 'model_not_found'
    status = HTTPStatus.NOT_FOUND
    ran = Ran.NO
    default_remedy = 'list the services with GET /v1/models'


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request to a model service.

    Explanation
    ===========
    ``deadline`` is a time of this process's monotonic clock in seconds,
    ``body`` is sent to the engine, and ``prompt`` determines the prefix
    affinity.
    """

    request_id: str
    workspace: str
    service_name: str
    service: Service
    path: str
    body: bytes
    prompt: str
    max_tokens: int
    is_streamed: bool
    created: int
    deadline: float
    priority: int = 0
    is_idempotent: bool = True
    idempotency_key: str = ''


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as read from the connection, before validation."""

    request_id: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    arrived_at: float
    created: int
    keys_by_header: Mapping[str, str] = field(default_factory=dict)


def parse_completion(
    incoming: IncomingRequest,
    workspace: str,
    version: Version,
) -> CallerRequest:
    """Return the validated request.

    Raises
    ======
    BadRequest
        The body or a header is malformed.
    UnknownService
        The workspace has no service of that name.
    """
    body = _parse_body(incoming.body)
    name = body.get('model')
    services = version.rendered.services_by_workspace[workspace]
    if not isinstance(name, str) or name not in services:
        raise UnknownService(
            f'got model {name!r}: expected one of {sorted(services)}',
        )
    service = services[name]
    max_tokens = _max_tokens(body, service)
    body['max_tokens'] = max_tokens
    body.setdefault('seed', _seed(workspace, incoming.body))
    if service.adapter:
        body['adapter'] = service.adapter
    return CallerRequest(
        request_id=incoming.request_id,
        workspace=workspace,
        service_name=name,
        service=service,
        path=incoming.path,
        body=orjson.dumps(body),
        prompt=prompt_text(body),
        max_tokens=max_tokens,
        is_streamed=bool(body.get('stream')),
        created=incoming.created,
        deadline=incoming.arrived_at + deadline_s(incoming.headers),
        priority=_priority(incoming.headers, service),
        is_idempotent=is_idempotent(incoming.headers, service, incoming.path),
        idempotency_key=incoming.headers.get('Idempotency-Key', ''),
    )


def prompt_text(body: Mapping[str, object]) -> str:
    """Return the text that an engine prefills.

    Raises
    ======
    BadRequest
        The body has neither a prompt nor messages, or a message is not an
        object.
    """
    prompt = body.get('prompt')
    if isinstance(prompt, str):
        return prompt
    messages = body.get('messages')
    if isinstance(messages, list) and messages:
        return '\n'.join(_message_text(message) for message in messages)
    raise BadRequest(
        'got neither a prompt nor messages: expected a string in prompt or '
        'a list of messages',
    )


def _message_text(message: object) -> str:
    if not isinstance(message, dict):
        kind = type(message).__name__
        raise BadRequest(f'got a message of type {kind}: expected an object')
    return ': '.join((str(message.get('role')), str(message.get('content'))))


def _parse_body(body: bytes) -> dict[str, object]:
    try:
        parsed = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BadRequest(f'the body is not JSON: {error}') from error
    if not isinstance(parsed, dict):
        raise BadRequest('the body is not a JSON object')
    return parsed


def _max_tokens(body: Mapping[str, object], service: Service) -> int:
    requested = body.get('max_tokens') or body.get('max_completion_tokens')
    if requested is None:
        return service.max_tokens
    if not isinstance(requested, int) or requested < 1:
        raise BadRequest(f'got max_tokens {requested!r}: expected at least 1')
    return min(requested, service.max_tokens)


def _seed(workspace: str, body: bytes) -> int:
    # The same request of the same workspace always gets the same seed.
    return xxhash.xxh32_intdigest(workspace.encode() + body) & MAX_SEED


def deadline_s(headers: Mapping[str, str]) -> float:
    """Return the deadline of a request in seconds after its arrival.

    Raises
    ======
    BadRequest
        The header is malformed.
    """
    header = headers.get('Rudder-Deadline-S')
    if header is None:
        return DEFAULT_DEADLINE_S
    try:
        seconds = float(header)
    except ValueError:
        seconds = 0
    if not 0 < seconds <= DEFAULT_DEADLINE_S:
        raise BadRequest(
            f'got Rudder-Deadline-S {header!r}: expected seconds up to '
            f'{DEFAULT_DEADLINE_S}',
        )
    return seconds


def _priority(headers: Mapping[str, str], service: Service) -> int:
    header = headers.get('Rudder-Priority')
    if header is None:
        return service.priority
    if not header.isdecimal() or int(header) > MAX_PRIORITY:
        raise BadRequest(
            f'got Rudder-Priority {header!r}: expected 0 to {MAX_PRIORITY}',
        )
    # A caller may lower its own priority but not raise it.
    return min(int(header), service.priority)


def is_idempotent(
    headers: Mapping[str, str],
    service: Service,
    path: str,
) -> bool:
    """Return whether a request may run more than once.

    Raises
    ======
    BadRequest
        The header is malformed.
    """
    header = headers.get('Rudder-Idempotent', 'true').lower()
    if header not in {'true', 'false'}:
        raise BadRequest(
            f'got Rudder-Idempotent {header!r}: expected true or false',
        )
    return header == 'true' and path not in service.non_idempotent_routes
