"""Responses of the router's own, from typed errors."""

import orjson
from aiohttp import web

from ..errors import RudderError
from ..platform.names import ATTEMPT_ID


def error_response(error: RudderError, attempt_id: str) -> web.Response:
    """Return the response that tells a caller of an error."""
    headers = {ATTEMPT_ID: attempt_id} if attempt_id else {}
    if error.retry_after is not None:
        headers['Retry-After'] = format(error.retry_after, 'g')
    error_fields = {
        'code': error.code,
        'message': str(error),
        'remedy': error.remedy,
        'ran': error.ran.value,
    }
    return web.Response(
        status=error.status,
        headers=headers,
        body=orjson.dumps({'error': error_fields}),
        content_type='application/json',
    )
