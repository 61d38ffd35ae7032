"""What routers tell each other of a forwarded request."""

from http import HTTPStatus

from multidict import CIMultiDict, CIMultiDictProxy

from ...errors import Ran, RudderError
from ...platform import headers as wire
from ...platform import names

Headers = CIMultiDictProxy[str]

# How many engines the request may still run on; marks it as forwarded.
ATTEMPTS_LEFT = 'Rudder-Attempts-Left'
# Names of fields between routers begin with it, in lower case here.
ROUTER_PREFIX = 'rudder-'
# Of a refusal: no engine received the request, not even to reject it.
NOT_ARRIVED = 'Rudder-Not-Arrived'
# Of an answer: on how many engines the request may have run.
RUNS = 'Rudder-Runs'
REACH_PATH = '/reach'
# Answers of a router on whether it takes requests of others; 200 if it does.
CUT_OFF = HTTPStatus.SERVICE_UNAVAILABLE
STOPPING = HTTPStatus.GONE
MILLISECONDS_PER_SECOND = 1000


class MalformedForwarding(RudderError):
    """A router sent a request with a malformed number of attempts."""

    code = 'malformed_forwarding'
    status = 400
    ran = Ran.NO
    default_remedy = 'send the number of attempts that are left, at least one'


def headers_for_router(
    headers: Headers, attempts_left: int, remaining_s: float, last_event_id: str
) -> CIMultiDict[str]:
    """Return the header fields of a request that is forwarded.

    Explanation
    ===========
    The other router checks the caller's key itself.
    """
    outgoing = wire.end_to_end_headers(headers, ())
    outgoing[ATTEMPTS_LEFT] = str(attempts_left)
    remaining_ms = max(1, int(remaining_s * MILLISECONDS_PER_SECOND))
    outgoing[names.DEADLINE_MS] = str(remaining_ms)
    if last_event_id:
        outgoing[names.LAST_EVENT_ID] = last_event_id
    return outgoing


def forwarded_attempts(headers: Headers) -> int | None:
    """Return how many attempts a request has left, ``None`` if not forwarded.

    Raises
    ======
    MalformedForwarding
        The field is no positive whole number.

    Examples
    ========
    >>> def read(text):
    ...     return forwarded_attempts(CIMultiDictProxy(CIMultiDict(text)))
    >>> read({'Rudder-Attempts-Left': '2'}), read({'Host': 'one.example'})
    (2, None)
    >>> read({'Rudder-Attempts-Left': 'many'})
    Traceback (most recent call last):
    ...
    primroserudder.fleet.forwarding.messages.MalformedForwarding: ...
    """
    text = headers.get(ATTEMPTS_LEFT)
    if text is None:
        return None
    if not (text.isascii() and text.isdecimal() and int(text)):
        raise MalformedForwarding(f'{ATTEMPTS_LEFT} is {text!r}')
    return int(text)


def headers_of_forwarded(headers: Headers) -> Headers:
    """Return the fields of a request as its caller sent them.

    Explanation
    ===========
    Of a forwarded request, all fields of the routers are left out, also those
    that a later build adds. A caller's field of such a name is its own, except
    ``ATTEMPTS_LEFT``.
    """
    is_forwarded = ATTEMPTS_LEFT in headers
    return CIMultiDictProxy(
        CIMultiDict(
            (name, text)
            for name, text in headers.items()
            if not (is_forwarded and name.lower().startswith(ROUTER_PREFIX))
        )
    )


def take_runs(headers: CIMultiDict[str]) -> int | None:
    """Take from an answer on how many engines a router may have run it.

    Explanation
    ===========
    Returns ``None`` if the answer doesn't say so, as that of an earlier build.

    Examples
    ========
    >>> [
    ...     take_runs(CIMultiDict({'Rudder-Runs': text}))
    ...     for text in ('2', '-1', '')
    ... ]
    [2, None, None]
    """
    text = headers.pop(RUNS, '')
    return int(text) if text.isascii() and text.isdecimal() else None


def mark_not_run(headers: CIMultiDict[str], *, has_arrived: bool) -> None:
    """State in a response to a router that the request has not run.

    Parameters
    ==========
    has_arrived : bool
        Whether an engine received and rejected it.
    """
    headers[names.NOT_EXECUTED] = '1'
    if not has_arrived:
        headers[NOT_ARRIVED] = '1'
