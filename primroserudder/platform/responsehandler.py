"""Reads responses of HTTP peers that may send bytes without end.

Explanation
===========
aiohttp bounds the lines and the number of a response's header fields. This
module adds what it lacks for peers that may be faulty.
"""

from dataclasses import dataclass
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage


@dataclass(slots=True)
class _ResponseProgress:
    """What was read of the response to the current request."""

    body: aiohttp.StreamReader | None = None


class BoundedResponseHandler(ResponseHandler):
    """Reads the responses of one connection, which may be faulty.

    Explanation
    ===========
    An error in the middle of a body reaches the reader of the body at once.
    """

    def __init__(self, *parameters: Any, **options: Any) -> None:
        """Take the parameters of ``ResponseHandler``."""
        super().__init__(*parameters, **options)
        self._progress = _ResponseProgress()

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare to read the response to a new request."""
        self._progress = _ResponseProgress()
        super().set_response_params(**parameters)

    def feed_data(
        self,
        message: tuple[RawResponseMessage, aiohttp.StreamReader],
        size: int = 0,
    ) -> None:
        """Take the head of a response, and its body, which may follow."""
        self._progress.body = message[1]
        super().feed_data(message, size)

    def set_exception(self, *errors: BaseException) -> None:
        """Fail the response, and its body if that is incomplete.

        Explanation
        ===========
        aiohttp tells an error only to one who waits for a head.
        """
        super().set_exception(*errors)
        body = self._progress.body
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(
                aiohttp.ClientPayloadError(f'invalid body: {errors[0]!r}')
            )


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections whose responses are read with bounds."""

    def __init__(self, **options: Any) -> None:
        """Take the options of ``aiohttp.TCPConnector``."""
        super().__init__(**options)
        # aiohttp has no option for the class that reads responses.
        self._factory = partial(  # type: ignore[assignment]
            BoundedResponseHandler, loop=self._loop
        )
