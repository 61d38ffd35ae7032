"""What a peer may send as the head of a request, and for how long."""

from dataclasses import dataclass

from ..errors import Ran, RudderError

# The shortest field is a name of one letter, a colon and the line's end.
SHORTEST_FIELD_BYTES = 4
# A head that its peer sent within its time may arrive a little later.
HEAD_GRACE_S = 0.5


class HeadTooLarge(RudderError):
    """The request line and the header fields are too long."""

    code = 'head_too_large'
    status = 431
    ran = Ran.NO
    default_remedy = 'send a shorter path and shorter header fields'


class HeadTooSlow(RudderError):
    """The head of a request was not complete in time."""

    code = 'head_too_slow'
    status = 408
    ran = Ran.NO
    default_remedy = 'send the whole head sooner'


class BodyTooLarge(RudderError):
    """The request body exceeds the configured limit."""

    code = 'body_too_large'
    status = 413
    ran = Ran.NO
    default_remedy = 'send a smaller body'


@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """Limits of a request's head.

    Parameters
    ==========
    header_bytes : int
        The request line and all fields, with their line ends.
    header_s : float
        From the first bytes of a head to its end, in seconds.
    """

    header_bytes: int = 16_384
    header_s: float = 3

    @property
    def header_fields(self) -> int:
        """Return how many fields fit in a head."""
        return self.header_bytes // SHORTEST_FIELD_BYTES
