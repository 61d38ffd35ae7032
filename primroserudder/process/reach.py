"""Distinguishes silent VMs from an entry that is cut off itself."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from loguru import logger

from .metrics import Metrics
from .probing import Prober
from .sharing import EvidenceSharing


class Reachability(enum.StrEnum):
    """Which parts of its failure domain an entry can reach."""

    CONNECTED = 'connected'
    VMS_SILENT = 'vms_silent'
    PEERS_SILENT = 'peers_silent'
    CUT_OFF = 'cut_off'


@dataclass(slots=True)
class ReachabilityMonitor:
    """Determines what this entry can reach, and counts each change.

    Explanation
    ===========
    If neither VMs nor peers answer, the entry itself is cut off: it reports
    nothing about its VMs and its routing rights expire. While peers answer,
    the fault of a silent VM lies with that VM. A VM that refuses connections
    is gone.
    """

    prober: Prober
    sharing: EvidenceSharing
    metrics: Metrics
    current: Reachability = Reachability.CONNECTED

    def step(self) -> None:
        """Update the reachability; count and log a change."""
        reachability = self.classify()
        if reachability is self.current:
            return
        self.current = reachability
        self.metrics.count('reach_changes', reach=reachability.value)
        logger.info(
            'the reachability of the failure domain is now {}',
            reachability,
        )

    def classify(self) -> Reachability:
        """Return the reachability that probes and peers indicate."""
        asked_count = len(self.prober.asked_at_by_vm)
        silent_count = len(self.prober.silent)
        has_answers = self.sharing.recent_answers() > 0
        has_peers = bool(self.sharing.dump())
        if asked_count and silent_count == asked_count and not has_answers:
            return Reachability.CUT_OFF
        if has_peers and not has_answers:
            return Reachability.PEERS_SILENT
        return (
            Reachability.VMS_SILENT if silent_count else Reachability.CONNECTED
        )

    def dump(self) -> Mapping[str, object]:
        """Return the reachability and its inputs for the state dump."""
        return {
            'reach': self.current.value,
            'vms_asked': len(self.prober.asked_at_by_vm),
            'vms_silent': sorted(self.prober.silent),
            'peers_answering': self.sharing.recent_answers(),
        }
