"""What an outage costs a deployment, as its operators state it."""

from pydantic import BaseModel, ConfigDict, Field

# A group of four VMs of eight accelerators strands as much as it is down.
DEFAULT_STRANDED = 0.03125


class RepairCosts(BaseModel):
    """What a minute of each kind of outage costs the deployment."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    downtime_per_group_minute: float = Field(default=1, ge=0)
    stranded_per_accelerator_minute: float = Field(
        default=DEFAULT_STRANDED,
        ge=0,
    )
