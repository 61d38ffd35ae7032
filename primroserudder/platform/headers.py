"""Header fields of callers' requests and of engines' responses."""

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

from multidict import CIMultiDict, CIMultiDictProxy

from . import names

Headers = CIMultiDictProxy[str]
MILLISECONDS_PER_SECOND = 1000
MAX_PROMPT_PARTS = 32
MAX_PART_ID_LENGTH = 200

# Hop-by-hop fields (RFC 9110, section 7.6.1) and others that concern only one
# connection.
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    )
)
_SET_BY_ROUTER = frozenset(
    name.lower()
    for name in (
        names.TENANT,
        names.EXPECT_INSTANCE,
        names.EXPECT_VERSION,
        names.PRIORITY_CLASS,
        names.DEADLINE_MS,
        'Authorization',
        'Accept-Encoding',
    )
)


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a request from its header fields.

    Explanation
    ===========
    The caller supplies the token counts: ``answer_tokens`` is an upper
    bound, ``expected_answer_tokens`` an estimate. A missing count is zero.
    ``deadline_s`` is the time left in seconds. ``shared_parts`` holds the ids
    of the prompt's parts in order, without the last one, which belongs to the
    request itself or to its session.
    """

    attempt_id: str
    api_key: str
    model: str
    deadline_s: float | None
    prompt_tokens: int
    answer_tokens: int
    expected_answer_tokens: int
    last_event_id: str
    shared_parts: tuple[str, ...] = ()


def read_request(headers: Headers) -> RequestMetadata:
    """Decode the header fields that affect how a request is handled."""
    prompt, answer = _numbers(headers.get(names.TOKEN_USAGE, ''))
    hint, _ = _numbers(headers.get(names.LENGTH_HINT, ''))
    deadline_ms, _ = _numbers(headers.get(names.DEADLINE_MS, ''))
    return RequestMetadata(
        attempt_id=headers.get(names.ATTEMPT_ID, ''),
        api_key=_key(headers.get('Authorization', '')),
        model=headers.get(names.MODEL, ''),
        deadline_s=deadline_ms / MILLISECONDS_PER_SECOND
        if deadline_ms
        else None,
        prompt_tokens=prompt,
        answer_tokens=answer,
        expected_answer_tokens=hint,
        last_event_id=headers.get(names.LAST_EVENT_ID, ''),
        shared_parts=_shared_parts(headers.get(names.PREFIX_HASH, '')),
    )


@dataclass(frozen=True, slots=True)
class ForwardedFields:
    """Header values that the router sets on a request to an engine."""

    engine_id: str
    workspace: str
    remaining_s: float
    last_event_id: str = ''


def request_headers_for_engine(
    headers: Headers, fields: ForwardedFields
) -> CIMultiDict[str]:
    """Return the header fields of a request to an engine."""
    outgoing = end_to_end_headers(headers, _SET_BY_ROUTER)
    outgoing[names.EXPECT_INSTANCE] = fields.engine_id
    outgoing[names.DEADLINE_MS] = str(
        max(1, int(fields.remaining_s * MILLISECONDS_PER_SECOND))
    )
    if fields.workspace:
        outgoing[names.TENANT] = fields.workspace
    if fields.last_event_id:
        outgoing[names.LAST_EVENT_ID] = fields.last_event_id
    return outgoing


def response_headers_for_caller(headers: Headers) -> CIMultiDict[str]:
    """Return an engine's end-to-end header fields for the caller."""
    return end_to_end_headers(headers, frozenset())


def end_to_end_headers(
    headers: Headers, dropped: Iterable[str]
) -> CIMultiDict[str]:
    """Return the end-to-end header fields except those to drop."""
    connection_options = {
        name.strip().lower()
        for field in headers.getall('Connection', ())
        for name in field.split(',')
    }
    unwanted = _HOP_BY_HOP | connection_options | set(dropped)
    return CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in unwanted
    )


def confirms_not_run(status: int, headers: Headers) -> bool:
    """Return whether an engine confirms that it did not run a request."""
    return (
        status == HTTPStatus.MISDIRECTED_REQUEST
        or names.NOT_EXECUTED in headers
    )


def echoes_attempt_id(headers: Headers, attempt_id: str) -> bool:
    """Return whether a response belongs to an attempt.

    Explanation
    ===========
    It also returns true if the response lacks the field or if the attempt has
    no id.
    """
    echoed = headers.get(names.ATTEMPT_ID)
    return echoed is None or not attempt_id or echoed == attempt_id


def has_seal(headers: Headers) -> bool:
    """Return whether a response has the engine's seal field."""
    return names.SEAL in headers


def engine_at_fault(headers: Headers) -> str:
    """Return the engine id that a refusal names, or an empty string."""
    return headers.get(names.AT_SERVER, '')


def _key(authorization: str) -> str:
    scheme, _, key = authorization.partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def _shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of a prompt's parts, without the last entry.

    Explanation
    ===========
    Entries that are malformed or beyond the maximum are skipped.

    Examples
    ========
    >>> _shared_parts('5c1e07a2:800,91bd3f06:410,e4402b7d:250')
    ('5c1e07a2', '91bd3f06')
    >>> _shared_parts('5c:800, :7,91,92:many,93:5,93:5,e4:250')
    ('5c', '93')
    >>> _shared_parts('e4:250'), _shared_parts('')
    ((), ())
    """
    entries = text.rpartition(',')[0].split(',', MAX_PROMPT_PARTS)
    pairs = (entry.partition(':') for entry in entries[:MAX_PROMPT_PARTS])
    ids = (
        part_id.strip()
        for part_id, _, tokens in pairs
        if tokens.strip().isdecimal()
    )
    return tuple(
        dict.fromkeys(
            part_id for part_id in ids if 0 < len(part_id) <= MAX_PART_ID_LENGTH
        )
    )


def _numbers(text: str) -> tuple[int, int]:
    """Return the first two integers of a list; zero if one is missing.

    Examples
    ========
    >>> _numbers('1460,80'), _numbers('7'), _numbers('many')
    ((1460, 80), (7, 0), (0, 0))
    """
    first, _, second = text.partition(',')
    return _number(first), _number(second)


def _number(text: str) -> int:
    digits = text.strip()
    return int(digits) if digits.isdecimal() else 0
