"""Measures the repair policy over a simulated year of failures.

Explanation
===========
One failure domain is stepped minute by minute. Of 3,700 VMs in the target
fleet, 32 fail and 638 restart per day, and each fabric domain has an outage
about once in nine years. How long VMs stay absent is assumed, see ``Hazards``.
The weights of one group are loaded at a time.
"""

import argparse
import json
import random
import sys
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

from ..process.repair import (
    Action,
    BrokenGroup,
    Choice,
    Costs,
    Hazards,
    RepairPolicy,
)

MINUTES_A_YEAR = 525_600
MINUTES_A_DAY = 1440
FAILURES_A_DAY = 32 / 3700
RESTARTS_A_DAY = 638 / 3700
FABRIC_OUTAGES_A_DAY = 1 / (9 * 365)
FABRIC_OUTAGE_MINUTES = 60
FABRIC_VMS = 13
GROUP_SIZE = 4
ACCELERATORS = 8
SECONDS_A_MINUTE = 60
WEIGHTS = MappingProxyType(
    {
        'regie': Costs(1, 0.005),
        'tsagaan-nuurs': Costs(0.2, 0.05),
    },
)

Chooser = Callable[
    [Sequence[BrokenGroup], Mapping[str, Sequence[str]], int],
    Sequence[Choice],
]


@dataclass(slots=True)
class Group:
    """The members of a group and the minute from which it serves."""

    name: str
    fabric: str
    members: list[str]
    ready_at: int = 0


@dataclass(slots=True)
class Year:
    """Simulates one policy for one year."""

    rng: random.Random
    hazards: Hazards
    fabrics: int
    absent_until: dict[str, int] = field(default_factory=dict)
    absent_since: dict[str, int] = field(default_factory=dict)
    groups: list[Group] = field(default_factory=list)
    spares: dict[str, list[str]] = field(default_factory=dict)
    loading_until: int = 0
    down_minutes: int = 0
    stranded_minutes: int = 0

    def __post_init__(self) -> None:
        """Form as many groups as fit into each fabric domain."""
        for index in range(self.fabrics):
            fabric = f'f{index}'
            vms = [f'{fabric}-{number}' for number in range(FABRIC_VMS)]
            while len(vms) >= GROUP_SIZE:
                name = f'{fabric}-g{len(vms)}'
                members = [vms.pop() for _ in range(GROUP_SIZE)]
                self.groups.append(Group(name, fabric, members))
            self.spares[fabric] = vms

    def run(self, choose: Chooser) -> None:
        """Step through the year."""
        for now in range(MINUTES_A_YEAR):
            self._fail(now)
            self._return(now)
            if self.absent_until or self.loading_until > now:
                self._repair(now, choose)
            self._count(now)

    def cost(self, costs: Costs) -> float:
        """Return the weighted cost of the year."""
        down = self.down_minutes * costs.downtime_per_group_minute
        stranded = costs.stranded_per_accelerator_minute
        return down + self.stranded_minutes * stranded

    def _fail(self, now: int) -> None:
        vms = self.fabrics * FABRIC_VMS
        share = vms * (FAILURES_A_DAY + RESTARTS_A_DAY) / MINUTES_A_DAY
        if self.rng.random() < share:
            fabric = self.rng.randrange(self.fabrics)
            number = self.rng.randrange(FABRIC_VMS)
            self._lose(f'f{fabric}-{number}', now, self._minutes_absent())
        if (
            self.rng.random()
            < self.fabrics * FABRIC_OUTAGES_A_DAY / MINUTES_A_DAY
        ):
            fabric = self.rng.randrange(self.fabrics)
            for number in range(FABRIC_VMS):
                self._lose(f'f{fabric}-{number}', now, FABRIC_OUTAGE_MINUTES)

    def _minutes_absent(self) -> float:
        hazards = self.hazards
        is_restart = self.rng.random() < hazards.restart_share
        mean_s = hazards.restart_s if is_restart else hazards.replacement_s
        return self.rng.expovariate(SECONDS_A_MINUTE / mean_s)

    def _lose(self, vm: str, now: int, minutes: float) -> None:
        until = now + 1 + int(minutes)
        self.absent_until[vm] = max(self.absent_until.get(vm, 0), until)
        self.absent_since.setdefault(vm, now)

    def _return(self, now: int) -> None:
        back = [vm for vm, until in self.absent_until.items() if until <= now]
        for vm in back:
            self.absent_until.pop(vm)
            self.absent_since.pop(vm)
        for group in self.groups if back else ():
            has_back = not set(back).isdisjoint(group.members)
            if has_back and not self._missing(group):
                # The VM returns without weights, so the group loads again.
                self._load(group, now)

    def _missing(self, group: Group) -> list[str]:
        return [vm for vm in group.members if vm in self.absent_until]

    def _load(self, group: Group, now: int) -> None:
        minutes = max(1, int(self.hazards.load_s / SECONDS_A_MINUTE))
        self.loading_until = max(self.loading_until, now) + minutes
        group.ready_at = self.loading_until

    def _repair(self, now: int, choose: Chooser) -> None:
        broken = [
            self._broken(group, now)
            for group in self.groups
            if self._missing(group)
        ]
        free = {
            fabric: [vm for vm in vms if vm not in self.absent_until]
            for fabric, vms in self.spares.items()
        }
        minutes = max(1, int(self.hazards.load_s / SECONDS_A_MINUTE))
        queued = max(0, self.loading_until - now) // minutes
        for choice in choose(broken, free, queued):
            self._apply(choice, now)

    def _broken(self, group: Group, now: int) -> BrokenGroup:
        missing = self._missing(group)
        return BrokenGroup(
            group.name,
            group.fabric,
            [vm for vm in group.members if vm not in missing],
            {
                vm: (now - self.absent_since[vm]) * SECONDS_A_MINUTE
                for vm in missing
            },
        )

    def _apply(self, choice: Choice, now: int) -> None:
        by_name = {group.name: group for group in self.groups}
        group = by_name[choice.group_id]
        if choice.action not in {Action.REPLACE, Action.MERGE}:
            return
        missing = self._missing(group)
        holder = (
            by_name[choice.donor].members
            if choice.donor
            else self.spares[group.fabric]
        )
        for gone, taken in zip(missing, choice.taken, strict=True):
            holder[holder.index(taken)] = gone
            group.members[group.members.index(gone)] = taken
        self._load(group, now)

    def _count(self, now: int) -> None:
        for group in self.groups:
            missing = len(self._missing(group)) if self.absent_until else 0
            if missing or group.ready_at > now:
                self.down_minutes += 1
                living = len(group.members) - missing
                self.stranded_minutes += living * ACCELERATORS


def wait(
    broken: Sequence[BrokenGroup],
    spares: Mapping[str, Sequence[str]],
    queued: int,
) -> Sequence[Choice]:
    """Wait for each missing VM."""
    return ()


def rebuild_at_once(
    broken: Sequence[BrokenGroup],
    spares: Mapping[str, Sequence[str]],
    queued: int,
) -> Sequence[Choice]:
    """Replace missing VMs by spares at once, while there are enough."""
    left = defaultdict(list, {name: list(vms) for name, vms in spares.items()})
    return [
        Choice(group.group_id, Action.REPLACE, tuple(_take(left, group)))
        for group in broken
        if len(left[group.fabric_domain]) >= len(group.missing_s_by_vm)
    ]


def _take(left: Mapping[str, list[str]], group: BrokenGroup) -> Iterable[str]:
    free = left[group.fabric_domain]
    return [free.pop() for _ in group.missing_s_by_vm]


def _costs_of(
    costs: Costs,
    hazards: Hazards,
    seed: int,
    fabrics: int,
) -> Mapping[str, Mapping[str, float]]:
    choosers: Mapping[str, Chooser] = {
        'policy': RepairPolicy(costs, hazards).choose,
        'wait': wait,
        'rebuild_at_once': rebuild_at_once,
    }
    figures_by_policy = {}
    for label, choose in choosers.items():
        year = Year(random.Random(seed), hazards, fabrics)
        year.run(choose)
        figures_by_policy[label] = {
            'cost': round(year.cost(costs), 1),
            'group_down_minutes': year.down_minutes,
            'stranded_accelerator_minutes': year.stranded_minutes,
        }
    return figures_by_policy


def main() -> None:
    """Write the costs of the policy and of the baselines as JSON."""
    parser = argparse.ArgumentParser(prog='repair-bench')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--fabrics', type=int, default=5)
    arguments = parser.parse_args()
    hazards = Hazards(restart_share=638 / 670, load_s=300)
    report = {
        name: _costs_of(costs, hazards, arguments.seed, arguments.fabrics)
        for name, costs in WEIGHTS.items()
    }
    json.dump(report, sys.stdout, indent=2)
    sys.stdout.write('\n')


if __name__ == '__main__':
    main()
