"""Outage costs of a deployment, as its operators configure them."""

from pydantic import BaseModel, ConfigDict, Field

# 1/32: the accelerators of a group of four VMs with eight accelerators each
# together cost as much per minute as the downtime of that group.
DEFAULT_STRANDED_COST = 0.03125


class RepairCosts(BaseModel):
    """Cost of a minute of each kind of outage, in any common unit."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    downtime_per_group_minute: float = Field(default=1, ge=0)
    stranded_per_accelerator_minute: float = Field(
        default=DEFAULT_STRANDED_COST,
        ge=0,
    )
