"""Who holds the site's lease, as this VM sees it."""

import asyncio
from dataclasses import dataclass

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from .notice import Notice

LEASE_LIFETIME_S = 2.0
LEASE_RENEWAL_S = 0.6
# A holder tells of itself more often, so that nobody need ask the store.
HOLDER_SILENT_S = 0.9
CANDIDATE_INTERVAL_S = 0.3


@dataclass(slots=True)
class Tenancy:
    """Renews the lease, or takes it once its holder is silent.

    Explanation
    ===========
    Candidates learn of renewals from notices and read the
    store only when these end.
    """

    lease: Lease
    clock: Clock
    log: DecisionLog
    wake: asyncio.Event
    heard_at: float = float('-inf')

    async def run(self) -> None:
        """Hold or watch the lease until cancelled."""
        while True:
            was_held = self.lease.is_held()
            if was_held or not self._hears_holder():
                await self.lease.renew()
            is_held = self.lease.is_held()
            if was_held != is_held:
                fencing = self.lease.fencing
                self.log.note('lease', held=is_held, fencing=fencing)
                self.wake.set()
            pause_s = LEASE_RENEWAL_S if is_held else CANDIDATE_INTERVAL_S
            await asyncio.sleep(pause_s)

    def hear(self, notice: Notice) -> None:
        """Note a renewal that a notice tells of."""
        if notice.lease_claim:
            self.heard_at = self.clock.monotonic()
            self.lease.note_claim(notice.lease_claim)

    def _hears_holder(self) -> bool:
        return self.clock.monotonic() - self.heard_at < HOLDER_SILENT_S
