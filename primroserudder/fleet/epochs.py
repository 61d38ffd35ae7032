"""Epochs of groups, and the fencing tokens that they are made of."""

from collections.abc import Iterable

from .directorynames import STANDBY_SUFFIX, group_name, model_of
from .model import Engine

# The epochs of a tenure are higher than all epochs of earlier tenures.
EPOCHS_PER_TENURE = 1_000_000
# Other writers may list any number; epochs of such tokens fit into JSON.
MAX_TOKEN = 1_000_000_000


def epoch_of(fencing: int, count: int) -> int:
    """Return the epoch that a tenure gives out at a count.

    Examples
    ========
    >>> epoch_of(103, 1)
    103000001
    """
    return fencing * EPOCHS_PER_TENURE + count


def token_of(epoch: int) -> int:
    """Return the fencing token of the tenure that gave out an epoch.

    Examples
    ========
    >>> token_of(103000001)
    103
    """
    return epoch // EPOCHS_PER_TENURE


def listed_token(engines: Iterable[Engine]) -> int:
    """Return the highest fencing token in the epochs that engines report.

    Explanation
    ===========
    Returns zero if there is none. Groups whose names are not made of their
    epoch are of another writer.
    """
    tokens = (
        token_of(engine.membership.epoch)
        for engine in engines
        if engine.membership is not None
        and _is_named_by_epoch(engine.membership.group, engine.membership.epoch)
    )
    return max((token for token in tokens if token < MAX_TOKEN), default=0)


def _is_named_by_epoch(name: str, epoch: int) -> bool:
    is_standby = name.endswith(STANDBY_SUFFIX)
    return name == group_name(model_of(name), epoch, is_standby=is_standby)
