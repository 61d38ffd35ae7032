"""Limits what notices take of a VM's link."""

from dataclasses import dataclass

LINK_SHARE = 0.02
BURST_S = 0.5
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000


@dataclass(slots=True)
class ByteBudget:
    """Limits the bytes of notices to a share of the VM's link.

    Examples
    ========
    >>> budget = ByteBudget(link_mbps=10)
    >>> budget.bytes_per_s
    25000.0
    >>> budget.refill(1)
    >>> budget.spend(20_000)
    >>> budget.has_left()
    False
    """

    link_mbps: float
    _left: float = 0
    _refilled_at: float = 0

    @property
    def bytes_per_s(self) -> float:
        """Return the bytes that notices may take in a second."""
        return LINK_SHARE * self.link_mbps * BITS_PER_MBIT / BITS_PER_BYTE

    def refill(self, now: float) -> None:
        """Add what the time since the last refill allows."""
        earned = (now - self._refilled_at) * self.bytes_per_s
        self._left = min(self.bytes_per_s * BURST_S, self._left + earned)
        self._refilled_at = now

    def has_left(self) -> bool:
        """Return whether notices that can wait may be sent."""
        return self._left > 0

    def spend(self, sent_bytes: int) -> None:
        """Count sent bytes."""
        self._left -= sent_bytes
