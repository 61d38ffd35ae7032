"""Says how many connections callers may keep open.

Explanation
===========
Each connection takes a descriptor of the process, and each request another one
for its engine. A process without free descriptors accepts no connection and
reaches no engine. Callers keep connections that they may never use again, so
that a burst of callers is enough.
"""

import resource
import sys
from dataclasses import dataclass

# For files, the store, other routers and the ports of the process.
RESERVED = 200
# Of few descriptors, connections get this share at least.
LEAST_SHARE = 0.25
# Connections that are accepted while others close, as a share of the rest.
SPARE_SHARE = 0.125


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The descriptors that connections of callers and to engines share.

    Parameters
    ==========
    sockets : int
        How many sockets there may be.
    """

    sockets: int

    @property
    def usable(self) -> int:
        """Return how many may be in use, and none is closed."""
        return int(self.sockets * (1 - SPARE_SHARE))

    @property
    def spare(self) -> int:
        """Return how many new connections may wait while others close."""
        return self.sockets - self.usable

    @classmethod
    def of_process(cls, max_descriptors: int = 0) -> 'DescriptorBudget':
        """Return the budget of this process.

        Parameters
        ==========
        max_descriptors : int
            Limit of the VM, zero if only that of the process holds.
        """
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        # Without a limit, the system returns a negative number.
        limits = [limit for limit in (soft, max_descriptors) if limit > 0]
        lowest = min(limits, default=sys.maxsize)
        return cls(max(lowest - RESERVED, int(lowest * LEAST_SHARE)))

    def excess(self, connections: int, in_flight: int) -> int:
        """Return how many idle connections have to be closed.

        Parameters
        ==========
        connections : int
            Connections of callers that are open.
        in_flight : int
            Requests that are served, each with a connection to an engine.

        Examples
        ========
        >>> budget = DescriptorBudget(sockets=800)
        >>> budget.excess(600, 50), budget.excess(700, 50)
        (0, 50)
        """
        return max(connections + in_flight - self.usable, 0)
