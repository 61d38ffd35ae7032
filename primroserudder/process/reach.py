"""Tells a VM that is gone from an entry that is cut off."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from loguru import logger

from .metrics import Metrics
from .probing import Prober
from .sharing import EvidenceSharing


class Reachability(enum.StrEnum):
    """What an entry reaches of its failure domain."""

    CONNECTED = 'connected'
    VMS_SILENT = 'vms_silent'
    PEERS_SILENT = 'peers_silent'
    CUT_OFF = 'cut_off'


@dataclass(slots=True)
class ReachabilityMonitor:
    """Judges what this entry reaches, and counts each change.

    Explanation
    ===========
    An entry whose probes and peers are all silent is itself cut off: it says
    nothing of its VMs and its rights lapse. While peers answer, a silent VM
    is a matter of that VM; one that refuses connections is gone.
    """

    prober: Prober
    sharing: EvidenceSharing
    metrics: Metrics
    current: Reachability = Reachability.CONNECTED

    def step(self) -> None:
        """Judge anew."""
        found = self.judge()
        if found is self.current:
            return
        self.current = found
        self.metrics.count('reach_changes', reach=found.value)
        logger.info('reach of the failure domain: {}', found)

    def judge(self) -> Reachability:
        """Return what probes and peers together tell."""
        asked = len(self.prober.asked_at_by_vm)
        silent = len(self.prober.silent)
        hears_peers = self.sharing.answered_lately() > 0
        has_peers = bool(self.sharing.dump())
        if asked and silent == asked and not hears_peers:
            return Reachability.CUT_OFF
        if has_peers and not hears_peers:
            return Reachability.PEERS_SILENT
        return Reachability.VMS_SILENT if silent else Reachability.CONNECTED

    def dump(self) -> Mapping[str, object]:
        """Return the judgement and its grounds for the state dump."""
        return {
            'reach': self.current.value,
            'vms_asked': len(self.prober.asked_at_by_vm),
            'vms_silent': sorted(self.prober.silent),
            'peers_answering': self.sharing.answered_lately(),
        }
