"""The configuration version in force in a process."""

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from loguru import logger

from .document import ConfigurationError, parse_document
from .render import Rendered, render_document


@dataclass(frozen=True, slots=True)
class Version:
    """One accepted configuration; versions are ordered by number."""

    number: int
    digest: str
    body: bytes
    rendered: Rendered


def make_version(number: int, body: bytes, source: str = 'document') -> Version:
    """Return a checked version.

    Raises
    ======
    ConfigurationError
        The document is not acceptable.
    """
    rendered = render_document(parse_document(body, source), source)
    return Version(number, body_digest(body), body, rendered)


def body_digest(body: bytes) -> str:
    """Return the digest that names a document in the object store.

    Examples
    ========
    >>> body_digest(b'{}')[:8]
    '44136fa3'
    """
    return hashlib.sha256(body).hexdigest()


EMPTY_DOCUMENT = b'{"format": 1}'


@dataclass(slots=True)
class VersionHolder:
    """Holds the version in force, whose number only rises."""

    current: Version = field(
        default_factory=lambda: make_version(0, EMPTY_DOCUMENT),
    )
    listeners: list[Callable[[Version], None]] = field(default_factory=list)

    def offer(self, version: Version) -> bool:
        """Put a version in force if it is newer; return whether it was."""
        if version.number <= self.current.number:
            return False
        self.current = version
        logger.info('configuration version {} in force', version.number)
        for listener in self.listeners:
            listener(version)
        return True

    def offer_body(self, number: int, digest: str, body: bytes) -> bool:
        """Check a body against its digest and offer it.

        Raises
        ======
        ConfigurationError
            The body is not the one that the digest names.
        """
        if number <= self.current.number:
            return False
        found = body_digest(body)
        if found != digest:
            raise ConfigurationError(
                f'version {number}: got a body with digest {found}: '
                f'expected {digest}',
            )
        return self.offer(make_version(number, body))

    def dump(self) -> Mapping[str, object]:
        """Return number and digest for the state dump."""
        return {'number': self.current.number, 'digest': self.current.digest}
