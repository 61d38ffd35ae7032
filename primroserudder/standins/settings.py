"""Settings of the stand-ins."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from ..process.settings import Identifier, Port
from .engine import EngineSpeed

_DEFAULT_SPEED = EngineSpeed()


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class EngineFleet(_StrictModel):
    """Engines of one failure domain and pool, each on its own port."""

    failure_domain: Identifier
    pool: Identifier
    first_host: str = '127.0.0.1'
    first_port: Port
    count: int = Field(ge=1)
    vms_per_fabric_domain: int = Field(default=8, ge=1)
    honours_fencing: bool = True


class SpeedSettings(_StrictModel):
    """Speed of the engines; times are in seconds."""

    load_s: float = Field(default=_DEFAULT_SPEED.load_s, ge=0)
    prefill_word_s: float = Field(default=_DEFAULT_SPEED.prefill_word_s, ge=0)
    token_s: float = Field(default=_DEFAULT_SPEED.token_s, gt=0)
    slots: int = Field(default=_DEFAULT_SPEED.slots, ge=1)


class PlainService(_StrictModel):
    """One plain service."""

    name: Identifier
    host: str = '127.0.0.1'
    port: Port


class StandinSettings(_StrictModel):
    """Settings of ``rudder-standin``: the stand-ins that it starts."""

    kind: Literal['all', 'platform', 'engines', 'plain'] = 'all'
    host: str = '127.0.0.1'
    platform_port: Port
    fleets: tuple[EngineFleet, ...] = ()
    speed: SpeedSettings = SpeedSettings()
    plain: tuple[PlainService, ...] = ()
