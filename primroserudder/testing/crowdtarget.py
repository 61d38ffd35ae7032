"""What a crowd calls, and what makes a caller one of a kind."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

CRLF = b'\r\n'
PIECE_BYTES = 60_000
FILL = b'x' * PIECE_BYTES
# What a caller leaves out at the end of its body.
MISSING_BYTES = 64


@dataclass(frozen=True, slots=True)
class Target:
    """What callers name in their heads.

    Parameters
    ==========
    path : str
        A route whose requests may last for long.
    short_path : str
        A route whose responses are short.
    stream_body : bytes
        The body of a request for a long stream at ``path``.
    """

    host: str
    key: str
    path: str
    short_path: str
    fields: Mapping[str, str] = field(default_factory=dict)
    stream_body: bytes = b''

    def head(self, path: str, **fields: str) -> bytes:
        """Return a request line and fields, without the line that ends them."""
        named = {name.replace('_', '-'): text for name, text in fields.items()}
        all_fields = {
            'Host': self.host,
            'Authorization': f'Bearer {self.key}',
            **self.fields,
            **named,
        }
        lines = [f'{name}: {text}' for name, text in all_fields.items()]
        return '\r\n'.join((f'POST {path} HTTP/1.1', *lines, '')).encode()


@dataclass(frozen=True, slots=True)
class Kind:
    """One way not to behave.

    Parameters
    ==========
    send : Callable
        Returns the pieces that one caller sends to a target.
    has_end : bool
        Whether what a caller sends could become a proper request. The others
        have to lose their connections.
    """

    name: str
    send: Callable[[Target], Iterable[bytes]]
    has_end: bool = True
