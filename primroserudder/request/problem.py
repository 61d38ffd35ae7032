"""Encoding of errors as HTTP responses and stream events."""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType

import orjson

from ..errors import Ran, RudderError

PROBLEM_TYPE = 'application/problem+json'
RAN_HEADER = 'Rudder-Ran'
REQUEST_ID_HEADER = 'Rudder-Request-Id'
SHOULD_RETRY_HEADER = 'x-should-retry'

_KINDS_BY_STATUS: Mapping[int, str] = MappingProxyType(
    {
        HTTPStatus.UNAUTHORIZED: 'authentication_error',
        HTTPStatus.FORBIDDEN: 'permission_error',
        HTTPStatus.NOT_FOUND: 'not_found_error',
        HTTPStatus.TOO_MANY_REQUESTS: 'rate_limit_error',
    }
)


def problem_body(error: RudderError, request_id: str) -> bytes:
    """Return an RFC 9457 problem that OpenAI clients can parse too.

    References
    ==========
    RFC 9457, Problem Details for HTTP APIs.
    """
    is_callers_fault = error.status < HTTPStatus.INTERNAL_SERVER_ERROR
    fallback = 'invalid_request_error' if is_callers_fault else 'server_error'
    return orjson.dumps(
        {
            'type': f'urn:primroserudder:problem:{error.code}',
            'title': error.code.replace('_', ' '),
            'status': error.status,
            'detail': str(error),
            'code': error.code,
            'ran': error.ran.value,
            'remedy': error.remedy,
            'request_id': request_id,
            'error': {
                'message': f'{error} ({error.remedy})',
                'type': _KINDS_BY_STATUS.get(error.status, fallback),
                'code': error.code,
                'param': None,
            },
        }
    )


def problem_headers(error: RudderError, request_id: str) -> dict[str, str]:
    """Return the HTTP headers of a problem response."""
    headers = {
        'Content-Type': PROBLEM_TYPE,
        RAN_HEADER: error.ran.value,
        REQUEST_ID_HEADER: request_id,
    }
    if error.ran is not Ran.NO:
        # The OpenAI client retries on many statuses by default, which could
        # run a request twice. This header disables the retry.
        headers[SHOULD_RETRY_HEADER] = 'false'
    if error.retry_after is not None:
        headers['Retry-After'] = str(max(1, round(error.retry_after)))
    return headers


def problem_event(error: RudderError, request_id: str) -> bytes:
    """Return an error as the last event of a stream."""
    body = problem_body(error, request_id)
    return b'event: error\ndata: %s\n\n' % body
