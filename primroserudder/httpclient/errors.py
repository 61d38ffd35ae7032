"""Why a response counts as none."""

import aiohttp


class BrokenResponse(aiohttp.ClientPayloadError):
    """What a peer sent is no response, though it may have run the request."""


class InvalidResponse(BrokenResponse):
    """A response is outside the grammar of HTTP/1.1."""


class EndlessResponse(BrokenResponse):
    """A peer sent too many bytes that are no part of a body."""


class ProtocolSwitched(BrokenResponse):
    """A peer switched to another protocol without being asked."""
