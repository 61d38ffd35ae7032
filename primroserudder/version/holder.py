"""The configuration version in force in a process."""

import hashlib
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field

from loguru import logger

from ..process.invariants import Invariants
from ..process.metrics import Metrics
from .document import ConfigurationError, parse_document
from .render import Rendered, render_document

RECENT_VERSIONS = 4


@dataclass(frozen=True, slots=True)
class Version:
    """An accepted configuration version; a higher number is newer."""

    number: int
    digest: str
    body: bytes
    rendered: Rendered


@dataclass(frozen=True, slots=True)
class RefusedVersion:
    """An accepted version that this process cannot put in force."""

    number: int
    digest: str
    reason: str


def make_version(number: int, body: bytes, source: str = 'document') -> Version:
    """Validate and render a document and return it as a version.

    Raises
    ======
    ConfigurationError
        The document is invalid.
    """
    rendered = render_document(parse_document(body, source), source)
    return Version(number, body_digest(body), body, rendered)


def body_digest(body: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of a document.

    Explanation
    ===========
    The digest is also the name of the document in the object store.

    Examples
    ========
    >>> body_digest(b'{}')[:8]
    '44136fa3'
    """
    return hashlib.sha256(body).hexdigest()


EMPTY_DOCUMENT = b'{"format": 1}'


def _invariants() -> Invariants:
    return Invariants(Metrics())


@dataclass(slots=True)
class VersionHolder:
    """Holds the version in force; its number never decreases."""

    current: Version = field(
        default_factory=lambda: make_version(0, EMPTY_DOCUMENT),
    )
    invariants: Invariants = field(default_factory=_invariants)
    listeners: list[Callable[[Version], None]] = field(default_factory=list)
    refused: RefusedVersion | None = None
    recent: deque[Version] = field(
        default_factory=lambda: deque(maxlen=RECENT_VERSIONS),
    )

    def should_fetch(self, number: int) -> bool:
        """Return whether a version is newer and not already refused."""
        refused = 0 if self.refused is None else self.refused.number
        return number > max(self.current.number, refused)

    def offer(self, version: Version) -> bool:
        """Put a version in force if it is newer; return whether it is."""
        self._check_digest(version.number, version.digest)
        if version.number <= self.current.number:
            return False
        self.recent.append(self.current)
        self.current = version
        if self.refused and self.refused.number <= version.number:
            self.refused = None
        self.invariants.metrics.count('versions_in_force')
        logger.info('configuration version {} in force', version.number)
        for listener in self.listeners:
            listener(version)
        return True

    def offer_body(self, number: int, digest: str, body: bytes) -> bool:
        """Verify a document and offer it; return whether it is in force.

        Explanation
        ===========
        A document that this process cannot parse, for example one written for
        a newer release, leaves the version in force unchanged. It is recorded
        as refused, so that the state dump shows it and it is not fetched
        again.

        Raises
        ======
        ConfigurationError
            The body does not match the digest.
        """
        self._check_digest(number, digest)
        if not self.should_fetch(number):
            return False
        actual = body_digest(body)
        if actual != digest:
            raise ConfigurationError(
                f'version {number}: got a body with digest {actual}: '
                f'expected {digest}',
            )
        try:
            version = make_version(number, body, f'version {number}')
        except ConfigurationError as error:
            self._refuse(RefusedVersion(number, digest, str(error)))
            return False
        return self.offer(version)

    def recent_body(self, digest: str) -> bytes | None:
        """Return the body of the current or a recent version by its digest."""
        versions = (self.current, *self.recent)
        return next(
            (version.body for version in versions if version.digest == digest),
            None,
        )

    def dump(self) -> Mapping[str, object]:
        """Return the current and the refused version for the state dump."""
        return {
            'number': self.current.number,
            'digest': self.current.digest,
            'refused': self.refused and asdict(self.refused),
        }

    def _check_digest(self, number: int, digest: str) -> None:
        expected = self.current.digest
        self.invariants.require(
            number != self.current.number or digest == expected,
            'one_document_per_version',
            f'version {number}: got digest {digest}: expected {expected}',
        )

    def _refuse(self, refused: RefusedVersion) -> None:
        self.refused = refused
        self.invariants.metrics.count('versions_refused')
        logger.error(
            'configuration version {} cannot be used: {}; version {} stays '
            'in force',
            refused.number,
            refused.reason,
            self.current.number,
        )
