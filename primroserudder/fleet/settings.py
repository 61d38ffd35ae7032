"""Settings of a router, read from the file that the platform fills in."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, field_validator

Address = Annotated[str, Field(pattern=r'^[0-9.]+:\d{1,5}$')]
METRICS_PORT = 9464
MILLISECONDS_PER_SECOND = 1000
MAX_PORT = 65_535
DEFAULT_STALL_MS = 4000.0
DEFAULT_HEARTBEAT_MS = 1200.0
# The platform drops an entry after this many heartbeats are missing.
HEARTBEATS_TO_EXPIRY = 3
# A missing entry reaches all VMs within this time.
LIST_LAG_S = 1.4
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_EXTRA_RETRIES = 20.0
DEFAULT_LINK_MBPS = 1000.0
# The smallest VM that is specified.
DEFAULT_MEMORY_MB = 152.0


class _FrozenSettings(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class RetrySettings(_FrozenSettings):
    """Limits of the retries that all routers send to a service."""

    ratio: float = Field(default=DEFAULT_RETRY_RATIO, ge=0)
    extra: float = Field(default=DEFAULT_EXTRA_RETRIES, ge=0)
    window_s: float = Field(default=10, gt=0)


class RouterSettings(_FrozenSettings):
    """Settings of ``rudder-router``.

    Parameters
    ==========
    region : str
        Region of the VM.
    regions_by_domain : dict
        Region of each failure domain.
    inner_ports : tuple of int
        First and last port reserved for traffic between routers.
    stall_ms : float
        How long a head waits for a lost member, in milliseconds.
    heartbeat_ms : float
        Interval of the engines' heartbeats, in milliseconds.
    grace_s : float
        Time from SIGTERM until the process is killed, in seconds.
    cpu_share : float
        Share of a core that the VM has.
    core_speed : float
        Speed of that core; two such VMs with shares of 1 and 0.5 compare as
        the products do.
    link_mbps : float
        Rate of the VM's link, in megabits per second.
    choose_by_cost : bool
        Whether engines whose times the configuration states are chosen by the
        expected time to the first event, and not by their slots in use.
    memory_mb : float
        Memory limit of the VM, in megabytes.
    max_descriptors : int
        Limit of a process's descriptors; zero if only the system's holds.
    is_first_start : bool
        Whether the whole system starts for the first time.
    """

    node: str = Field(min_length=1)
    ip: str = Field(pattern=r'^[0-9.]+$')
    failure_domain: str = Field(min_length=1)
    region: str = ''
    regions_by_domain: dict[str, str] = {}
    callers: Address
    readiness: Address
    inner_ports: tuple[int, int]
    store: Address
    stall_ms: float = Field(default=DEFAULT_STALL_MS, gt=0)
    heartbeat_ms: float = Field(default=DEFAULT_HEARTBEAT_MS, gt=0)
    grace_s: float = Field(default=8, gt=1)
    repeats: RetrySettings = RetrySettings()
    cpu_share: float = Field(default=1, gt=0)
    core_speed: float = Field(default=1, gt=0)
    link_mbps: float = Field(default=DEFAULT_LINK_MBPS, gt=0)
    memory_mb: float = Field(default=DEFAULT_MEMORY_MB, gt=0)
    max_descriptors: int = Field(default=0, ge=0)
    metrics_port: int = Field(default=METRICS_PORT, gt=0, le=MAX_PORT)
    choose_by_cost: bool = False
    is_first_start: bool = False
    log_level: str = Field(
        default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$'
    )

    @property
    def stall_s(self) -> float:
        """Return how long a head waits for a lost member, in seconds."""
        return self.stall_ms / MILLISECONDS_PER_SECOND

    @property
    def list_expiry_s(self) -> float:
        """Return how soon an engine that ended has left the list."""
        heartbeat_s = self.heartbeat_ms / MILLISECONDS_PER_SECOND
        return HEARTBEATS_TO_EXPIRY * heartbeat_s + LIST_LAG_S

    @property
    def speed(self) -> float:
        """Return the processor speed of the VM, in usual cores."""
        return self.cpu_share * self.core_speed

    @property
    def exchange_address(self) -> tuple[str, int]:
        """Return the address for datagrams and requests of other routers."""
        return self.ip, self.inner_ports[0]

    @property
    def exchange_endpoint(self) -> str:
        """Return the exchange address as ``host:port``."""
        return f'{self.ip}:{self.inner_ports[0]}'

    @field_validator('regions_by_domain', mode='before')
    @classmethod
    def _default_regions(cls, regions_by_domain: object) -> object:
        """Take a missing map for an empty one: platforms may have none."""
        return regions_by_domain or {}
