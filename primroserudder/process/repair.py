"""Chooses how to repair a broken group by the deployment's two costs.

Explanation
===========
A broken group keeps its remaining members reserved but serves no requests.
The policy can wait for the missing VMs, replace them with spare VMs, replace
them with members of another broken group of the same fabric domain, or release
the members as spares. It compares the expected cost until the group serves.
"""

import enum
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import exp

SECONDS_PER_MINUTE = 60


@dataclass(frozen=True, slots=True)
class Costs:
    """The costs of an outage in a deployment, per minute."""

    downtime_per_group_minute: float = 1
    stranded_per_accelerator_minute: float = 0.05
    accelerators_per_vm: int = 8


@dataclass(frozen=True, slots=True)
class Hazards:
    """Estimates of how long failed VMs stay missing and weights load.

    Explanation
    ===========
    ``restart_share`` of the missing VMs restart and return soon; the others
    are replaced much later. ``load_s`` is the time in seconds in which one
    group loads its weights when no other group uses the weight store.
    """

    restart_share: float = 0.9
    restart_s: float = 120
    replacement_s: float = 7200
    load_s: float = 120

    def expected_return_s(self, missing_s: float) -> float:
        """Return the expected seconds until a missing VM returns.

        Examples
        ========
        >>> hazards = Hazards(restart_share=0.5)
        >>> soon = hazards.expected_return_s(0)
        >>> soon < hazards.expected_return_s(600)
        True
        """
        restarting = self.restart_share * exp(-missing_s / self.restart_s)
        replacing = (1 - self.restart_share) * exp(
            -missing_s / self.replacement_s,
        )
        share = restarting / (restarting + replacing)
        return share * self.restart_s + (1 - share) * self.replacement_s


class Action(enum.StrEnum):
    """The way in which a broken group is repaired."""

    WAIT = 'wait'
    REPLACE = 'replace'
    MERGE = 'merge'
    RELEASE = 'release'


@dataclass(frozen=True, slots=True)
class BrokenGroup:
    """A group with missing members and how long each has been missing."""

    group_id: str
    fabric_domain: str
    living: Sequence[str]
    missing_s_by_vm: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Choice:
    """The action for a group and the VMs that replace the missing ones."""

    group_id: str
    action: Action
    taken: Sequence[str] = ()
    donor: str = ''


@dataclass(slots=True)
class RepairPolicy:
    """Chooses how to repair each broken group by the expected costs."""

    costs: Costs
    hazards: Hazards
    is_rebuild_allowed: bool = True
    flaps_by_vm: Counter[str] = field(default_factory=Counter)

    def choose(
        self,
        broken: Iterable[BrokenGroup],
        spares_by_fabric: Mapping[str, Collection[str]],
        queued_loads: int = 0,
    ) -> Sequence[Choice]:
        """Return a choice per group; those with fewest missing VMs go first."""
        spares = {
            fabric: sorted(vms, key=self._flap_count)
            for fabric, vms in spares_by_fabric.items()
        }
        waiting = sorted(broken, key=_missing_count)
        choices: dict[str, Choice] = {}
        for group in waiting:
            if group.group_id in choices:
                continue
            free = spares.get(group.fabric_domain, [])
            choice = self._replace_or_wait(group, free, queued_loads)
            if choice.action is Action.WAIT:
                choice = self._merge(group, waiting, choices, queued_loads)
            elif choice.action is Action.REPLACE:
                spares[group.fabric_domain] = free[len(choice.taken) :]
            queued_loads += choice.action in {Action.REPLACE, Action.MERGE}
            choices[group.group_id] = choice
        return tuple(choices.values())

    def wait_cost(self, group: BrokenGroup) -> float:
        """Return the expected cost of waiting for the missing VMs."""
        absence_s = max(
            self.hazards.expected_return_s(missing_s)
            for missing_s in group.missing_s_by_vm.values()
        )
        return self._cost_per_s(len(group.living)) * (
            absence_s + self.hazards.load_s
        )

    def rebuild_cost(self, group: BrokenGroup, queued_loads: int) -> float:
        """Return the expected cost of a rebuild until the group serves."""
        load_s = self.hazards.load_s * (queued_loads + 1)
        size = len(group.living) + len(group.missing_s_by_vm)
        return self._cost_per_s(size) * load_s

    def _flap_count(self, vm_id: str) -> tuple[int, str]:
        return self.flaps_by_vm[vm_id], vm_id

    def _cost_per_s(self, vm_count: int) -> float:
        accelerators = vm_count * self.costs.accelerators_per_vm
        stranded = accelerators * self.costs.stranded_per_accelerator_minute
        cost_per_minute = self.costs.downtime_per_group_minute + stranded
        return cost_per_minute / SECONDS_PER_MINUTE

    def _replace_or_wait(
        self,
        group: BrokenGroup,
        spares: Sequence[str],
        queued_loads: int,
    ) -> Choice:
        needed = len(group.missing_s_by_vm)
        is_cheaper = self.rebuild_cost(group, queued_loads) < self.wait_cost(
            group,
        )
        if self.is_rebuild_allowed and is_cheaper and len(spares) >= needed:
            return Choice(group.group_id, Action.REPLACE, spares[:needed])
        return Choice(group.group_id, Action.WAIT)

    def _merge(
        self,
        group: BrokenGroup,
        broken: Iterable[BrokenGroup],
        choices: dict[str, Choice],
        queued_loads: int,
    ) -> Choice:
        wait = Choice(group.group_id, Action.WAIT)
        needed = len(group.missing_s_by_vm)
        donors = [
            other
            for other in broken
            if other.group_id not in {group.group_id, *choices}
            and other.fabric_domain == group.fabric_domain
            and len(other.living) >= needed
        ]
        is_cheaper = self.rebuild_cost(group, queued_loads) < self.wait_cost(
            group,
        )
        if not donors or not is_cheaper or not self.is_rebuild_allowed:
            return wait
        donor = max(donors, key=self.wait_cost)
        choices[donor.group_id] = Choice(donor.group_id, Action.RELEASE)
        return Choice(
            group.group_id,
            Action.MERGE,
            donor.living[:needed],
            donor.group_id,
        )


def _missing_count(group: BrokenGroup) -> tuple[int, str]:
    return len(group.missing_s_by_vm), group.group_id
