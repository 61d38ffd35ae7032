"""The budget of retries of one process."""

from collections.abc import Mapping
from dataclasses import dataclass

BURST_RETRIES = 256.0
RETRIES_PER_SUCCESS = 0.25


@dataclass(slots=True)
class RetryBudget:
    """Lets retries be a share of the successes, and a burst besides.

    Explanation
    ===========
    The burst covers the loss of a group with all that runs there. A fleet
    that fails as a whole brings no successes, so that the retries end with
    the burst instead of multiplying the load.

    Examples
    ========
    >>> budget = RetryBudget(level=1)
    >>> budget.take(), budget.take()
    (True, False)
    """

    burst: float = BURST_RETRIES
    per_success: float = RETRIES_PER_SUCCESS
    level: float = BURST_RETRIES

    def note_success(self) -> None:
        """Add the share of one successful request."""
        self.level = min(self.burst, self.level + self.per_success)

    def take(self) -> bool:
        """Take one retry; return whether there was one left."""
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def dump(self) -> Mapping[str, float]:
        """Return the retries left for the state dump."""
        return {'left': self.level, 'burst': self.burst}
