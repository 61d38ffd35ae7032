"""Configuration versions: document, rendering, storage, distribution."""

from .document import ConfigurationError, Document, Service, parse_document
from .holder import Version, VersionHolder, make_version
from .render import Rendered, render_document
from .store import VersionStore

__all__ = (
    'ConfigurationError',
    'Document',
    'Rendered',
    'Service',
    'Version',
    'VersionHolder',
    'VersionStore',
    'make_version',
    'parse_document',
    'render_document',
)
