"""How the body of a response is framed (RFC 9112, section 6)."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol


class Body(Protocol):
    """Follows a body to its end."""

    @property
    def surplus(self) -> int:
        """Return how many of the last bytes came after the end."""

    def feed(self, octets: bytes) -> bytes:
        """Return what of some bytes belongs to the body, as it is framed."""


@dataclass(frozen=True, slots=True)
class UnsizedBody:
    """A body whose end aiohttp finds."""

    surplus: int = 0

    def feed(self, octets: bytes) -> bytes:
        """Return all bytes."""
        return octets


def body_after(status: int) -> Body | None:
    """Return how a body follows a head, ``None`` if that is interim."""
    return None if status < HTTPStatus.OK else UnsizedBody()
