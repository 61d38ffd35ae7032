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
from .drains import LeaseLost
from .engines import EngineClient, EngineOrder, EngineStatus
from .groups import GroupDirectory, GroupRecord, GroupState, Member
from .invariants import Invariants
from .lease import ORDER_LIFETIME_S, Lease
from .leaving import Leaving, Steering
from .looks import Found, Look, Looker, is_confirmed, is_cut_off
from .mending import Mending
from .outage import OutageCosts
from .placement import choose_members
from .platform import PlatformClient, Transaction, VmListing


@dataclass(slots=True)
class Controller:
    """Holds a failure domain's lease and keeps its groups formed."""

    platform: PlatformClient
    engines: EngineClient
    holder: VersionHolder
    lease: Lease
    directory: GroupDirectory
    leaving: Leaving
    counts: Counter[str] = field(default_factory=Counter)
    looker: Looker = field(init=False)
    mending: Mending = field(init=False)
    outages: OutageCosts = field(init=False)
    last_generation: int = 0

    def __post_init__(self) -> None:
        """Make the parts that look, repair and count."""
        self.looker = Looker(self.engines)
        self.mending = Mending(self.lease.clock)
        self.outages = OutageCosts(
            self.lease.clock,
            self.leaving.invariants.metrics,
            self.failure_domain,
        )

    @property
    def invariants(self) -> Invariants:
        """Return the invariants of the process."""
        return self.leaving.invariants

    @property
    def failure_domain(self) -> str:
        """Return the failure domain that this controller serves."""
        return self.lease.failure_domain

    async def reconcile(self) -> None:
        """Bring the groups one step nearer to the configuration."""
        if not self.lease.is_held():
            return
        view = await read_domain(self.platform, self.failure_domain)
        check_view(view, self.directory, self.invariants)
        self.directory.replace_domain(self.failure_domain, view.groups)
        if not self._may_order():
            return
        look = await self.looker.look(view.groups)
        self.outages.step(view.groups, look)
        if is_cut_off(look):
            self.counts['cut_off'] += 1
            return
        for group in view.groups:
            await self._tend(view, group, look[group.group_id])
        steering = await self.leaving.step(view.rows)
        await self._repair(view, look, steering)
        await self._form_missing(view, steering)

    def _may_order(self) -> bool:
        if self.lease.is_settled():
            return True
        document = self.holder.current.rendered.document
        pools = document.pools.values()
        return all(pool.honours_fencing for pool in pools)

    async def _tend(
        self,
        view: DomainView,
        group: GroupRecord,
        found: Sequence[Found],
    ) -> None:
        if group.state not in {GroupState.FORMING, GroupState.SERVING}:
            return
        is_empty = [
            status is not None and status.incarnation != member.incarnation
            for status, member in zip(found, group.members, strict=True)
        ]
        if any(is_empty) and all(found):
            await self._reform(view, group, group.members)
        elif all(found) and not is_confirmed(group, found):
            await self._order_all(group)
        elif all(found) and group.state is GroupState.FORMING:
            await self._let_serve(view, group, found)

    async def _let_serve(
        self,
        view: DomainView,
        group: GroupRecord,
        found: Sequence[Found],
    ) -> None:
        self.invariants.require(
            is_confirmed(group, found),
            'whole_before_serving',
            f'group {group.group_id} is not confirmed by all members',
        )
        serving = replace(group, state=GroupState.SERVING)
        await self._commit(view, serving, is_claim=False)
        logger.info('group {} serves', group.group_id)

    async def _repair(
        self,
        view: DomainView,
        look: Look,
        steering: Steering,
    ) -> None:
        document = self.holder.current.rendered.document
        for name, deployment in document.deployments.items():
            if isinstance(deployment, PlainDeployment):
                continue
            repairs = self.mending.plan(
                name,
                deployment,
                view,
                look,
                steering.excluded,
            )
            for group, vms in repairs:
                await self._reform(view, group, vms)

    async def _reform(
        self,
        view: DomainView,
        group: GroupRecord,
        members: Sequence[Member],
    ) -> None:
        statuses = await self.looker.statuses(members)
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
            'group {} forms generation {}',
            formed.group_id,
            formed.generation,
        )

    async def _form_missing(
        self,
        view: DomainView,
        steering: Steering,
    ) -> None:
        kept = view.without(steering.excluded)
        document = self.holder.current.rendered.document
        for name, deployment in document.deployments.items():
            if isinstance(deployment, PlainDeployment):
                continue
            prefix = f'{name}-{self.failure_domain}'
            ids = (f'{prefix}-{index}' for index in itertools.count())
            free = (each for each in ids if not view.is_taken(each))
            wanted = steering.plans_by_deployment[name].form
            for group_id in itertools.islice(free, wanted):
                await self._form(kept, group_id, name, deployment)

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
            raise LeaseLost(f'lease of {self.failure_domain} is not held')
        make = claim if is_claim else change_state
        transaction: Transaction = make(view, tenure, group)
        # A lost answer is settled by the next reading of the rows: nothing
        # is ordered on the strength of an unknown write.
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
        # No await stands between this check and the sending.
        if not self.lease.is_held():
            raise LeaseLost(f'lease of {self.failure_domain} is not held')
        return await self.engines.order(group.members[rank].address, order)


def as_member(vm: VmListing) -> Member:
    """Return a listed VM as a member whose incarnation is not known yet."""
    return Member(vm.vm_id, vm.address)


def _with_incarnation(member: Member, status: Found) -> Member:
    return replace(member, incarnation=status.incarnation if status else '')
