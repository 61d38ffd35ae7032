"""Settings of the stand-ins."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from ..process.settings import Identifier, Port
from .engine import EngineSpeed

_SPEED = EngineSpeed()


class _Checked(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class EngineFleet(_Checked):
    """Engines of one failure domain, each on an address of its own."""

    failure_domain: Identifier
    pool: Identifier
    first_host: str = '127.0.0.1'
    first_port: Port
    count: int = Field(ge=1)
    vms_per_fabric_domain: int = Field(default=8, ge=1)
    honours_fencing: bool = True


class SpeedSettings(_Checked):
    """How fast the engines are; times in seconds."""

    load_s: float = Field(default=_SPEED.load_s, ge=0)
    prefill_word_s: float = Field(default=_SPEED.prefill_word_s, ge=0)
    token_s: float = Field(default=_SPEED.token_s, gt=0)
    slots: int = Field(default=_SPEED.slots, ge=1)


class PlainService(_Checked):
    """One plain service."""

    name: Identifier
    host: str = '127.0.0.1'
    port: Port


class StandinSettings(_Checked):
    """Settings of ``rudder-standin``: what it stands in for."""

    kind: Literal['all', 'platform', 'engines', 'plain'] = 'all'
    host: str = '127.0.0.1'
    platform_port: Port
    fleets: tuple[EngineFleet, ...] = ()
    speed: SpeedSettings = SpeedSettings()
    plain: tuple[PlainService, ...] = ()
