"""Probes the VMs of the failure domain that are assigned to this entry."""

import asyncio
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

from ..errors import RudderError
from .clock import Clock
from .digest import NEVER, rendezvous, row_index
from .engines import ConnectionRefused, EngineClient
from .evidence import EvidenceBook
from .evidencestore import EVIDENCE_LIFETIME_S
from .groups import Member

PROBE_INTERVAL_S = 1
PROBE_STEP_S = 0.25
PROBE_TIMEOUT_S = 1.0
# Within a row, evidence is at most as old as one probe interval, one exchange
# interval and one step. The second prober probes when it is older.
TAKE_OVER_AFTER_S = 1.9


@dataclass(slots=True)
class Prober:
    """Requests the status of VMs and records the answers as evidence.

    Explanation
    ===========
    Rendezvous hashing of a VM's id over the living entries of the failure
    domain gives its first and its second prober. The second probes when the
    evidence that it has grows old, whatever the reason.
    """

    clock: Clock
    engines: EngineClient
    book: EvidenceBook
    own_id: str = ''
    asked_at_by_vm: dict[str, float] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    _tasks_by_vm: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    _probers_by_vm: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _assigned: tuple[frozenset[str], frozenset[str]] | None = None
    _started_at: float = NEVER

    def step(
        self,
        members: Iterable[Member],
        living: Collection[str],
        fresh: Collection[str],
    ) -> None:
        """Start the probes that are due.

        Parameters
        ==========
        members : iterable of Member
            All VMs of the failure domain that may get requests.
        living : collection of str
            Ids of the other entries among which the VMs are divided.
        fresh : collection of str
            Ids of those among them whose vouches are fresh.
        """
        if self._started_at == NEVER:
            self._started_at = self.clock.monotonic()
        by_vm = {member.vm_id: member for member in members}
        self._assign(frozenset(by_vm), frozenset((self.own_id, *living)))
        self._withdraw_expired()
        for vm_id, probers in self._probers_by_vm.items():
            if vm_id not in self._tasks_by_vm and self._is_due(
                vm_id,
                self._probe_age_s(probers, fresh),
            ):
                self._start(by_vm[vm_id])

    def stop(self) -> None:
        """Cancel the running probes."""
        for task in self._tasks_by_vm.values():
            task.cancel()

    async def probe_all(self, members: Iterable[Member]) -> None:
        """Probe all members concurrently."""
        await asyncio.gather(*(self.probe(member) for member in members))

    async def probe(self, member: Member) -> None:
        """Probe a member; the evidence dates from before the request."""
        asked_at = self.clock.monotonic()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                status = await self.engines.status(member.address)
        except ConnectionRefused:
            self.silent.discard(member.vm_id)
            self.book.note_refusal(member.vm_id)
        except (RudderError, TimeoutError):
            self.silent.add(member.vm_id)
        else:
            self.silent.discard(member.vm_id)
            self.book.note(status, asked_at)

    def dump(self) -> Mapping[str, object]:
        """Return the assigned and the silent VMs for the state dump."""
        return {
            'first_for': self._of_rank(0),
            'second_for': self._of_rank(1),
            'silent': sorted(self.silent),
        }

    def watched(self) -> Sequence[str]:
        """Return the VMs of which this entry is the first prober."""
        return self._of_rank(0)

    def _of_rank(self, rank: int) -> Sequence[str]:
        return [
            vm_id
            for vm_id, probers in self._probers_by_vm.items()
            if probers[rank : rank + 1] == (self.own_id,)
        ]

    def _assign(self, vms: frozenset[str], entries: frozenset[str]) -> None:
        if self._assigned == (vms, entries):
            return
        self._assigned = (vms, entries)
        self._probers_by_vm = {
            vm_id: choose_probers(vm_id, entries) for vm_id in sorted(vms)
        }
        for vm_id in self.asked_at_by_vm.keys() - vms:
            self.asked_at_by_vm.pop(vm_id)
            self.silent.discard(vm_id)

    def _withdraw_expired(self) -> None:
        earliest = self.clock.monotonic() - EVIDENCE_LIFETIME_S
        seen_times = tuple(self.book.own.late_by_name.items())
        for name, seen_at in seen_times:
            if seen_at < earliest:
                self.book.withdraw(name)

    def _probe_age_s(
        self,
        probers: Sequence[str],
        fresh: Collection[str],
    ) -> float:
        """Return the age in seconds from which this entry must probe."""
        has_fresh = any(prober in fresh for prober in probers)
        if self.own_id not in probers:
            return inf if has_fresh else TAKE_OVER_AFTER_S
        is_second = probers.index(self.own_id) > 0
        return TAKE_OVER_AFTER_S if is_second and has_fresh else 0

    def _is_due(self, vm_id: str, probe_age_s: float) -> bool:
        if probe_age_s and self._age_s(vm_id) < probe_age_s:
            return False
        asked_at = self.asked_at_by_vm.get(vm_id, NEVER)
        elapsed_s = self.clock.monotonic() - asked_at
        return elapsed_s >= PROBE_INTERVAL_S - PROBE_STEP_S / 2

    def _age_s(self, vm_id: str) -> float:
        # A process that has just started has no digest from the others yet.
        uptime_s = self.clock.monotonic() - self._started_at
        return min(self.book.age_s(vm_id), uptime_s)

    def _start(self, member: Member) -> None:
        vm_id = member.vm_id
        self.asked_at_by_vm[vm_id] = self.clock.monotonic()
        task = asyncio.create_task(self.probe(member), name=f'probe {vm_id}')
        self._tasks_by_vm[vm_id] = task
        task.add_done_callback(lambda _: self._tasks_by_vm.pop(vm_id))


def choose_probers(vm_id: str, entries: Collection[str]) -> tuple[str, ...]:
    """Return the first and, if there is one, the second prober of a VM.

    Explanation
    ===========
    The second is of the same row as the first if that row has another entry.

    Examples
    ========
    >>> choose_probers('vm3', ['a'])
    ('a',)
    >>> len(choose_probers('vm3', ['a', 'b', 'c']))
    2
    """
    order = tuple(rendezvous(vm_id, entries))
    row = row_index(order[0], len(order))
    others = [
        entry for entry in order[1:] if row_index(entry, len(order)) == row
    ]
    return (order[0], *(others or order[1:])[:1])
