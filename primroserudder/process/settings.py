"""Settings of the programs, read from JSON files and validated."""

import pathlib
from typing import Annotated, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import RudderError

HIGHEST_PORT = 65535
DEFAULT_MAX_BODY_BYTES = 4_194_304
# A load balancer with a health check every 2 s sees it fail by then.
DRAIN_NOTICE_S = 5
MAX_SHOWN_CHARACTERS = 80
DEFAULT_MEMORY_MB = 512.0
Identifier = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Port = Annotated[int, Field(ge=0, le=HIGHEST_PORT)]


class SettingsError(RudderError):
    """The settings file is unreadable or has an invalid value."""

    code = 'bad_settings'
    status = 400
    default_remedy = 'correct the settings file and run again with --check'


class _Checked(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class TlsFiles(_Checked):
    """PEM files of one port; ``client_ca`` requires client certificates."""

    certificate: pathlib.Path
    key: pathlib.Path
    client_ca: pathlib.Path | None = None


class Listener(_Checked):
    """One listening port; port 0 takes any free one."""

    host: str = '127.0.0.1'
    port: Port
    tls: TlsFiles | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


class LogSettings(_Checked):
    """Level and format of the log."""

    level: str = Field(
        default='INFO',
        pattern='^(DEBUG|INFO|WARNING|ERROR)$',
    )
    as_json: bool = False


class PlatformSettings(_Checked):
    """URL and timeout in seconds of the platform's services."""

    url: str = Field(pattern='^https?://')
    timeout_s: float = Field(default=2, gt=0)


class NodeSettings(_Checked):
    """Settings that all processes of the system have."""

    node_id: Identifier
    failure_domain: Identifier
    region: Identifier = 'local'
    platform: PlatformSettings
    operators: Listener
    operators_token: str = Field(min_length=8)
    peers: Listener
    peer_seeds: tuple[str, ...] = ()
    logs: LogSettings = LogSettings()
    # Memory limit of the process, in megabytes.
    memory_mb: float = Field(default=DEFAULT_MEMORY_MB, gt=0)


class EntrySettings(NodeSettings):
    """Settings of ``rudder-entry``."""

    callers: Listener
    drain_notice_s: float = Field(default=DRAIN_NOTICE_S, ge=0)
    max_body_bytes: int = Field(default=DEFAULT_MAX_BODY_BYTES, gt=0)
    # Signs the idempotency keys that entries mint; equal at all entries.
    minting_secret: str = Field(default='', pattern='^(.{16,})?$')


class ControllerSettings(NodeSettings):
    """Settings of ``rudder-controller``."""


_Settings = TypeVar('_Settings', bound=BaseModel)


def read_settings(path: pathlib.Path, kind: type[_Settings]) -> _Settings:
    """Return the settings in a file.

    Raises
    ======
    SettingsError
        The file can't be read or a value is invalid.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'{path}: cannot be read: {error}',
            remedy='name a readable JSON file with --settings',
        ) from error
    try:
        return kind.model_validate_json(text)
    except ValidationError as invalid:
        raise SettingsError(f'{path}: {describe(invalid)}') from invalid


def describe(invalid: ValidationError) -> str:
    """Return the first validation error with its path and value.

    Examples
    ========
    >>> try:
    ...     Listener.model_validate({'port': 70000})
    ... except ValidationError as error:
    ...     describe(error)
    'port: got 70000: Input should be less than or equal to 65535'
    """
    first_error = invalid.errors(include_url=False)[0]
    path = '.'.join(str(part) for part in first_error['loc']) or 'document'
    shown = repr(first_error['input'])[:MAX_SHOWN_CHARACTERS]
    reason = first_error['msg']
    return f'{path}: got {shown}: {reason}'
