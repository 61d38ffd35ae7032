"""Elects the holder of the site's lease, as seen by this VM."""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ..process.clock import Clock
from ..process.decisions import DecisionLog
from ..process.lease import Lease
from .notice import Notice

LEASE_LIFETIME_S = 2.0
RENEWAL_INTERVAL_S = 0.6
# A holder sends notices more often than this, so that candidates need not read
# the store.
HOLDER_TIMEOUT_S = 0.9
CANDIDATE_INTERVAL_S = 0.3
# A failed renewal is retried after this time.
RENEWAL_RETRY_S = 0.2
# A holder whose renewals fail for this long gives the lease up if a peer still
# reaches the store.
GIVE_UP_AFTER_S = 0.5


class LivingPeers(Protocol):
    """The other VMs that sent a notice recently."""

    def living(self) -> Iterable[Notice]:
        """Return the latest notices of the live VMs."""

    def neighbours_before(self) -> Sequence[str]:
        """Return the live VMs of this domain that rank before this one."""


@dataclass(slots=True)
class LeaderElection:
    """Renews the lease, or acquires it once its holder is silent.

    Explanation
    ===========
    Notices report renewals to the candidates, which read the store only if
    no notices arrive. The first VM of each failure domain reads it often, each
    further one less often by its rank. A holder whose store calls fail while
    those of other VMs succeed gives the lease up.
    """

    lease: Lease
    clock: Clock
    log: DecisionLog
    wake: asyncio.Event
    peers: LivingPeers
    holder_seen_at: float = float('-inf')

    async def run(self) -> None:
        """Renew or watch the lease until cancelled."""
        while True:
            was_held = self.lease.is_held()
            if was_held or not self._is_holder_alive():
                await self.lease.renew()
            is_held = self.lease.is_held()
            if was_held != is_held:
                fencing = self.lease.fencing
                self.log.note('lease', held=is_held, fencing=fencing)
                self.wake.set()
            self._step_down_if_cut_off()
            await asyncio.sleep(self._pause_s())

    def on_notice(self, notice: Notice) -> None:
        """Record a renewal or the end of a tenure from a notice."""
        if notice.lease_given_up:
            self.lease.claim_expiry.note_given_up(notice.lease_given_up)
            self.holder_seen_at = float('-inf')
        if notice.lease_claim:
            self.holder_seen_at = self.clock.monotonic()
            self.lease.claim_expiry.note_claim(notice.lease_claim)

    def _is_holder_alive(self) -> bool:
        return self.clock.monotonic() - self.holder_seen_at < HOLDER_TIMEOUT_S

    def _pause_s(self) -> float:
        if not self.lease.is_held():
            rank = len(self.peers.neighbours_before())
            return CANDIDATE_INTERVAL_S * (1 + rank)
        is_failing = self.lease.failing_since is not None
        return RENEWAL_RETRY_S if is_failing else RENEWAL_INTERVAL_S

    def _step_down_if_cut_off(self) -> None:
        """Give the lease up if the store fails only for this VM."""
        if not self.lease.is_held():
            return
        if not self.lease.has_failed_for(GIVE_UP_AFTER_S):
            return
        if any(notice.reaches_store for notice in self.peers.living()):
            self.lease.give_up()
            self.log.note('lease_given_up', fencing=self.lease.fencing)
            self.wake.set()
