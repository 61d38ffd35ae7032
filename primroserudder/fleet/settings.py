"""Settings of a router, as the platform fills in their template."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Address = Annotated[str, Field(pattern=r'^[0-9.]+:\d{1,5}$')]
METRICS_PORT = 9464
MILLISECONDS = 1000
HIGHEST_PORT = 65_535
DEFAULT_STALL_MS = 4000.0
DEFAULT_REPEAT_RATIO = 0.2
DEFAULT_REPEATS = 20.0


class _Checked(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class RepeatSettings(_Checked):
    """How many repeats all routers may send to a service in a window."""

    ratio: float = Field(default=DEFAULT_REPEAT_RATIO, ge=0)
    extra: float = Field(default=DEFAULT_REPEATS, ge=0)
    window_s: float = Field(default=10, gt=0)


class RouterSettings(_Checked):
    """Settings of ``rudder-router``.

    Parameters
    ==========
    inner_ports : tuple of int
        First and last port that are free for talk between routers.
    stall_ms : float
        How long a head waits for a member that is gone.
    grace_s : float
        Time from SIGTERM to the kill.
    """

    node: str = Field(min_length=1)
    ip: str = Field(pattern=r'^[0-9.]+$')
    failure_domain: str = Field(min_length=1)
    region: str = ''
    callers: Address
    readiness: Address
    inner_ports: tuple[int, int]
    store: Address
    stall_ms: float = Field(default=DEFAULT_STALL_MS, gt=0)
    grace_s: float = Field(default=8, gt=1)
    repeats: RepeatSettings = RepeatSettings()
    metrics_port: int = Field(default=METRICS_PORT, gt=0, le=HIGHEST_PORT)
    log_level: str = Field(
        default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$'
    )

    @property
    def stall_s(self) -> float:
        """Return how long a head waits for a member, in seconds."""
        return self.stall_ms / MILLISECONDS

    @property
    def exchange_address(self) -> tuple[str, int]:
        """Return where other routers' datagrams and calls arrive."""
        return self.ip, self.inner_ports[0]

    @property
    def exchange_name(self) -> str:
        """Return the same address as others write it."""
        return f'{self.ip}:{self.inner_ports[0]}'
