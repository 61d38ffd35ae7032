"""Forms and repairs the groups of one failure domain."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from loguru import logger

from ..version.document import ModelDeployment, PlainDeployment
from ..version.holder import VersionHolder
from .claims import (
    DomainView,
    change_state,
    check_view,
    claim,
    read_domain,
)
from .draincoordinator import DrainCoordinator, FormingConstraints
from .drains import LeaseLost
from .engines import EngineClient, EngineOrder, EngineStatus
from .groups import GroupDirectory, GroupRecord, GroupState, Member
from .invariants import Invariants
from .lease import ORDER_LIFETIME_S, Lease
from .memberstatus import (
    MemberStatus,
    StatusesByGroup,
    StatusPoller,
    is_confirmed,
    is_cut_off,
)
from .outage import OutageCosts
from .placement import choose_members
from .platform import PlatformClient, Transaction, VmListing
from .repairplan import RepairPlanner


@dataclass(slots=True)
class Controller:
    """Reconciles the groups of a failure domain while it holds the lease."""

    platform: PlatformClient
    engines: EngineClient
    holder: VersionHolder
    lease: Lease
    directory: GroupDirectory
    drain_coordinator: DrainCoordinator
    counts: Counter[str] = field(default_factory=Counter)
    status_poller: StatusPoller = field(init=False)
    repair_planner: RepairPlanner = field(init=False)
    outages: OutageCosts = field(init=False)
    last_generation: int = 0

    def __post_init__(self) -> None:
        """Create the status poller, repair planner and outage counter."""
        self.status_poller = StatusPoller(self.engines)
        self.repair_planner = RepairPlanner(self.lease.clock)
        self.outages = OutageCosts(
            self.lease.clock,
            self.drain_coordinator.invariants.metrics,
            self.failure_domain,
        )

    @property
    def invariants(self) -> Invariants:
        """Return the invariants of the process."""
        return self.drain_coordinator.invariants

    @property
    def failure_domain(self) -> str:
        """Return the failure domain that this controller serves."""
        return self.lease.failure_domain

    async def reconcile(self) -> None:
        """Run one reconcile step towards the configuration."""
        if not self.lease.is_held():
            return
        view = await read_domain(self.platform, self.failure_domain)
        check_view(view, self.directory, self.invariants)
        self.directory.replace_domain(self.failure_domain, view.groups)
        if not self._may_send_orders():
            return
        statuses_by_group = await self.status_poller.poll_groups(view.groups)
        self.outages.step(view.groups, statuses_by_group)
        if is_cut_off(statuses_by_group):
            self.counts['cut_off'] += 1
            return
        for group in view.groups:
            await self._advance(view, group, statuses_by_group[group.group_id])
        constraints = await self.drain_coordinator.step(view.rows)
        await self._repair(view, statuses_by_group, constraints)
        await self._form_missing(view, constraints)

    def _may_send_orders(self) -> bool:
        if self.lease.have_prior_orders_expired():
            return True
        document = self.holder.current.rendered.document
        pools = document.pools.values()
        return all(pool.honours_fencing for pool in pools)

    async def _advance(
        self,
        view: DomainView,
        group: GroupRecord,
        statuses: Sequence[MemberStatus],
    ) -> None:
        if group.state not in {GroupState.FORMING, GroupState.SERVING}:
            return
        has_restarted = [
            status is not None and status.incarnation != member.incarnation
            for status, member in zip(statuses, group.members, strict=True)
        ]
        if any(has_restarted) and all(statuses):
            await self._reform(view, group, group.members)
        elif all(statuses) and not is_confirmed(group, statuses):
            await self._order_all(group)
        elif all(statuses) and group.state is GroupState.FORMING:
            await self._start_serving(view, group, statuses)

    async def _start_serving(
        self,
        view: DomainView,
        group: GroupRecord,
        statuses: Sequence[MemberStatus],
    ) -> None:
        self.invariants.require(
            is_confirmed(group, statuses),
            'whole_before_serving',
            f'not all members of group {group.group_id} confirmed its order',
        )
        serving = replace(group, state=GroupState.SERVING)
        await self._commit(view, serving, is_claim=False)
        logger.info('group {} is serving', group.group_id)

    async def _repair(
        self,
        view: DomainView,
        statuses_by_group: StatusesByGroup,
        constraints: FormingConstraints,
    ) -> None:
        document = self.holder.current.rendered.document
        for name, deployment in document.deployments.items():
            if isinstance(deployment, PlainDeployment):
                continue
            repairs = self.repair_planner.plan(
                name,
                deployment,
                view,
                statuses_by_group,
                constraints.excluded,
            )
            for group, vms in repairs:
                await self._reform(view, group, vms)

    async def _reform(
        self,
        view: DomainView,
        group: GroupRecord,
        members: Sequence[Member],
    ) -> None:
        statuses = await self.status_poller.poll_members(members)
        if None in statuses:
            return
        self.last_generation = max(
            self.last_generation + 1,
            view.next_generation(),
        )
        formed = replace(
            group,
            generation=self.last_generation,
            members=tuple(map(_with_incarnation, members, statuses)),
            state=GroupState.FORMING,
        )
        await self._commit(view, formed, is_claim=True)
        self.counts['reformed'] += 1
        logger.info(
            'group {} is forming with generation {}',
            formed.group_id,
            formed.generation,
        )

    async def _form_missing(
        self,
        view: DomainView,
        constraints: FormingConstraints,
    ) -> None:
        available = view.without(constraints.excluded)
        document = self.holder.current.rendered.document
        for name, deployment in document.deployments.items():
            if isinstance(deployment, PlainDeployment):
                continue
            prefix = f'{name}-{self.failure_domain}'
            ids = (f'{prefix}-{index}' for index in itertools.count())
            free = (each for each in ids if not view.is_id_in_use(each))
            wanted = constraints.plans_by_deployment[name].form
            for group_id in itertools.islice(free, wanted):
                await self._form(available, group_id, name, deployment)

    async def _form(
        self,
        view: DomainView,
        group_id: str,
        name: str,
        deployment: ModelDeployment,
    ) -> None:
        vms = choose_members(
            view.vms,
            view.claims_by_vm.keys(),
            deployment.pool,
            deployment.group_size,
        )
        if not vms:
            return
        wanted = GroupRecord(
            group_id=group_id,
            deployment=name,
            failure_domain=self.failure_domain,
            fabric_domain=vms[0].fabric_domain,
            generation=0,
            members=(),
            model=deployment.model,
            model_version=deployment.model_version,
            state=GroupState.FORMING,
            adapters=tuple(deployment.adapters),
        )
        await self._reform(view, wanted, [as_member(vm) for vm in vms])

    async def _commit(
        self,
        view: DomainView,
        group: GroupRecord,
        *,
        is_claim: bool,
    ) -> None:
        tenure = self.lease.tenure
        if tenure is None or not self.lease.is_held():
            raise LeaseLost(
                f'the lease of {self.failure_domain} is not held',
            )
        build = claim if is_claim else change_state
        transaction: Transaction = build(view, tenure, group)
        # If the answer is lost, the next step reads the rows again. No order
        # is sent on the basis of a write whose outcome is unknown.
        await self.platform.commit(transaction)

    async def _order_all(self, group: GroupRecord) -> None:
        await asyncio.gather(
            *(self._order(group, rank) for rank in range(len(group.members))),
        )

    async def _order(self, group: GroupRecord, rank: int) -> EngineStatus:
        order = EngineOrder(
            group_id=group.group_id,
            generation=group.generation,
            model=group.model,
            model_version=group.model_version,
            members=tuple(member.vm_id for member in group.members),
            rank=rank,
            fencing=self.lease.fencing,
            valid_for=ORDER_LIFETIME_S,
            adapters=group.adapters,
        )
        # There must be no await between this check and the sending.
        if not self.lease.is_held():
            raise LeaseLost(
                f'the lease of {self.failure_domain} is not held',
            )
        return await self.engines.order(group.members[rank].address, order)


def as_member(vm: VmListing) -> Member:
    """Return a listed VM as a member with an unknown incarnation."""
    return Member(vm.vm_id, vm.address)


def _with_incarnation(member: Member, status: MemberStatus) -> Member:
    return replace(member, incarnation=status.incarnation if status else '')
