"""Retry budget of one process."""

from collections.abc import Mapping
from dataclasses import dataclass

BURST_RETRIES = 256.0
RETRIES_PER_SUCCESS = 0.25


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a share of the successes plus a burst.

    Explanation
    ===========
    The burst covers the loss of one group with all of its requests. A fleet
    that fails as a whole has no successes, so that retries stop after the
    burst and do not multiply the load.

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
        """Add the retries that one successful request earns."""
        self.level = min(self.burst, self.level + self.per_success)

    def take(self) -> bool:
        """Consume one retry; return ``False`` if the budget is spent."""
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def dump(self) -> Mapping[str, float]:
        """Return the remaining and the maximum retries, for the state dump."""
        return {'left': self.level, 'burst': self.burst}
