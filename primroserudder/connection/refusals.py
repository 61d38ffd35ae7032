"""Refusals of heads, which no handler of a request sees."""

from aiohttp import web

from ..errors import RudderError
from ..request.problem import problem_body, problem_headers


def refused_head(error: RudderError) -> web.Response:
    """Return the response to a head that is refused."""
    return web.Response(
        status=error.status,
        body=problem_body(error, ''),
        headers=problem_headers(error, ''),
    )
