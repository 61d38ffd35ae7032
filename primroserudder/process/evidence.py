"""Evidence that VMs are alive and hold the order of their group."""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..errors import RudderError
from .clock import Clock
from .engines import EngineClient, EngineStatus
from .groups import GroupRecord, GroupState, Member

EVIDENCE_LIFETIME_S = 3
PROBE_INTERVAL_S = 1


@dataclass(frozen=True, slots=True)
class Evidence:
    """The last sign of life of a VM, on this process's own clock."""

    status: EngineStatus
    seen_at: float


@dataclass(slots=True)
class EvidenceBook:
    """The latest evidence of each VM, by its id."""

    clock: Clock
    by_vm: dict[str, Evidence] = field(default_factory=dict)

    def note(self, status: EngineStatus, seen_at: float) -> None:
        """Keep evidence unless newer evidence is known."""
        known = self.by_vm.get(status.vm_id)
        if known is None or known.seen_at <= seen_at:
            self.by_vm[status.vm_id] = Evidence(status, seen_at)

    def forget(self, vm_id: str) -> None:
        """Drop what is known of a VM that refuses connections."""
        self.by_vm.pop(vm_id, None)

    def is_whole(self, group: GroupRecord) -> bool:
        """Return whether all members hold the order and were seen lately."""
        return all(
            self._is_confirmed(group, member) for member in group.members
        )

    def is_serving(self, group: GroupRecord) -> bool:
        """Return whether the group may be given a request now."""
        return group.state is GroupState.SERVING and self.is_whole(group)

    def dump(self) -> Mapping[str, object]:
        """Return ages in seconds and generations for the state dump."""
        now = self.clock.monotonic()
        return {
            vm_id: {
                'age_s': round(now - evidence.seen_at, 3),
                'incarnation': evidence.status.incarnation,
                'group_id': evidence.status.group_id,
                'generation': evidence.status.generation,
                'ready': evidence.status.ready,
            }
            for vm_id, evidence in self.by_vm.items()
        }

    def _is_confirmed(self, group: GroupRecord, member: Member) -> bool:
        evidence = self.by_vm.get(member.vm_id)
        if evidence is None:
            return False
        age = self.clock.monotonic() - evidence.seen_at
        if age > EVIDENCE_LIFETIME_S:
            return False
        return holds_order(evidence.status, group, member)


def holds_order(
    status: EngineStatus,
    group: GroupRecord,
    member: Member,
) -> bool:
    """Return whether a status confirms the member's place in the group."""
    if not status.ready or status.draining:
        return False
    if status.incarnation != member.incarnation:
        return False
    held = (status.group_id, status.generation, status.model_version)
    wanted = (group.group_id, group.generation, group.model_version)
    members = [member.vm_id for member in group.members]
    return held == wanted and list(status.members) == members


@dataclass(slots=True)
class Prober:
    """Asks VMs for their status and keeps the answers as evidence."""

    clock: Clock
    engines: EngineClient
    book: EvidenceBook

    async def probe_all(self, members: Iterable[Member]) -> None:
        """Ask all members side by side."""
        await asyncio.gather(*(self.probe(member) for member in members))

    async def probe(self, member: Member) -> None:
        """Ask one member; its evidence dates from before the question."""
        asked_at = self.clock.monotonic()
        try:
            status = await self.engines.status(member.address)
        except RudderError:
            return
        self.book.note(status, asked_at)
