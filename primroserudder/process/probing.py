"""Probes the VMs that fall to this entry among those of its domain."""

import asyncio
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

from ..errors import RudderError
from .clock import Clock
from .digest import NEVER, rendezvous, row_of
from .engines import ConnectionRefused, EngineClient
from .evidence import EvidenceBook
from .evidencestore import EVIDENCE_LIFETIME_S
from .groups import Member

PROBE_INTERVAL_S = 1
PROBE_STEP_S = 0.25
PROBE_TIMEOUT_S = 1.0
# In a row evidence is at most as old as the interval of the probes, one of
# the exchanges and one step; the second prober asks when it is older.
TAKE_OVER_S = 1.9


@dataclass(slots=True)
class Prober:
    """Asks VMs for their status and keeps the answers as evidence.

    Explanation
    ===========
    Each VM has a first and a second prober, by the rendezvous hash of its id
    over the living entries of the failure domain. The second asks when the
    evidence that it knows of grows old, whatever the reason.
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
    _began_at: float = NEVER

    def step(
        self,
        members: Iterable[Member],
        living: Collection[str],
        heard: Collection[str],
    ) -> None:
        """Start the probes that are due.

        Parameters
        ==========
        members : iterable of Member
            All VMs of the failure domain that may be given work.
        living : collection of str
            The other entries among which the probes are divided.
        heard : collection of str
            Those of them whose vouches are fresh.
        """
        if self._began_at == NEVER:
            self._began_at = self.clock.monotonic()
        by_vm = {member.vm_id: member for member in members}
        self._assign(frozenset(by_vm), frozenset((self.own_id, *living)))
        self._withdraw_old()
        for vm_id, probers in self._probers_by_vm.items():
            if vm_id not in self._tasks_by_vm and self._is_due(
                vm_id,
                self._patience_s(probers, heard),
            ):
                self._start(by_vm[vm_id])

    def stop(self) -> None:
        """Cancel the probes under way."""
        for task in self._tasks_by_vm.values():
            task.cancel()

    async def probe_all(self, members: Iterable[Member]) -> None:
        """Ask all members side by side."""
        await asyncio.gather(*(self.probe(member) for member in members))

    async def probe(self, member: Member) -> None:
        """Ask one member; its evidence dates from before the question."""
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
        """Return the division of the probes for the state dump."""
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

    def _withdraw_old(self) -> None:
        earliest = self.clock.monotonic() - EVIDENCE_LIFETIME_S
        seen = tuple(self.book.own.late_by_name.items())
        for name, seen_at in seen:
            if seen_at < earliest:
                self.book.withdraw(name)

    def _patience_s(
        self,
        probers: Sequence[str],
        heard: Collection[str],
    ) -> float:
        """Return how old evidence may grow before this entry asks."""
        is_heard = any(prober in heard for prober in probers)
        if self.own_id not in probers:
            return inf if is_heard else TAKE_OVER_S
        is_second = probers.index(self.own_id) > 0
        return TAKE_OVER_S if is_second and is_heard else 0

    def _is_due(self, vm_id: str, patience_s: float) -> bool:
        if patience_s and self._age_s(vm_id) < patience_s:
            return False
        asked_at = self.asked_at_by_vm.get(vm_id, NEVER)
        waited = self.clock.monotonic() - asked_at
        return waited >= PROBE_INTERVAL_S - PROBE_STEP_S / 2

    def _age_s(self, vm_id: str) -> float:
        # A process that has just started has not yet heard the others.
        lived_s = self.clock.monotonic() - self._began_at
        return min(self.book.age_s(vm_id), lived_s)

    def _start(self, member: Member) -> None:
        vm_id = member.vm_id
        self.asked_at_by_vm[vm_id] = self.clock.monotonic()
        task = asyncio.create_task(self.probe(member), name=f'probe {vm_id}')
        self._tasks_by_vm[vm_id] = task
        task.add_done_callback(lambda _: self._tasks_by_vm.pop(vm_id))


def choose_probers(vm_id: str, entries: Collection[str]) -> tuple[str, ...]:
    """Return the first and the second prober of a VM.

    Examples
    ========
    >>> choose_probers('vm3', ['a'])
    ('a',)
    >>> len(choose_probers('vm3', ['a', 'b', 'c']))
    2
    """
    order = tuple(rendezvous(vm_id, entries))
    row = row_of(order[0], len(order))
    others = [entry for entry in order[1:] if row_of(entry, len(order)) == row]
    return (order[0], *(others or order[1:])[:1])
