"""Keys that name one incarnation of an engine on all VMs."""

from ..membership import short_key
from ..model import Target


def incarnation_key(target: Target) -> int:
    """Return the key of the incarnation that a target is.

    Explanation
    ===========
    An engine that starts again under its id has named no limit.
    """
    return short_key(f'{target.engine_id}@{target.born_ms}')
