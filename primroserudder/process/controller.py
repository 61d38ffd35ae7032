"""Forms the groups of one failure domain."""

import asyncio
import itertools
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from loguru import logger

from ..version.document import ModelDeployment, PlainDeployment
from ..version.holder import VersionHolder
from .drains import LeaseLost
from .engines import EngineClient, EngineOrder, EngineStatus
from .evidence import holds_order
from .groups import (
    GROUP_PREFIX,
    GroupDirectory,
    GroupRecord,
    GroupState,
    Member,
    group_from_fields,
    group_to_fields,
)
from .lease import Lease
from .leaving import Leaving, Steering
from .placement import choose_members
from .platform import (
    Condition,
    PlatformClient,
    Row,
    Transaction,
    VmListing,
    Write,
)

ORDER_LIFETIME_S = 5
CLAIM_PREFIX = 'claims/'


@dataclass(slots=True)
class Controller:
    """Holds a failure domain's lease and keeps its groups formed."""

    platform: PlatformClient
    engines: EngineClient
    holder: VersionHolder
    lease: Lease
    directory: GroupDirectory
    leaving: Leaving

    @property
    def failure_domain(self) -> str:
        """Return the failure domain that this controller serves."""
        return self.lease.failure_domain

    async def reconcile(self) -> None:
        """Bring the groups one step nearer to the configuration."""
        if not self.lease.is_held():
            return
        prefix = f'{GROUP_PREFIX}{self.failure_domain}/'
        rows = await self.platform.scan(prefix)
        groups = [group_from_fields(row.fields) for row in rows]
        self.directory.replace_domain(self.failure_domain, groups)
        for row, group in zip(rows, groups, strict=True):
            if group.state is GroupState.FORMING:
                await self._complete(group, row.revision)
        steering = await self.leaving.step(rows)
        document = self.holder.current.rendered.document
        for name, deployment in document.deployments.items():
            if not isinstance(deployment, PlainDeployment):
                await self._form_missing(name, deployment, groups, steering)

    async def _form_missing(
        self,
        name: str,
        deployment: ModelDeployment,
        groups: Iterable[GroupRecord],
        steering: Steering,
    ) -> None:
        taken = {group.group_id for group in groups}
        prefix = f'{name}-{self.failure_domain}'
        ids = (f'{prefix}-{index}' for index in itertools.count())
        free = (group_id for group_id in ids if group_id not in taken)
        wanted = steering.plans_by_deployment[name].form
        for group_id in itertools.islice(free, wanted):
            await self._form(group_id, name, deployment, steering)

    async def _form(
        self,
        group_id: str,
        name: str,
        deployment: ModelDeployment,
        steering: Steering,
    ) -> None:
        claims = await self._claims()
        vms = choose_members(
            self._own_vms(await self.platform.list_vms()),
            {*claims, *steering.excluded},
            deployment.pool,
            deployment.group_size,
        )
        if not vms:
            return
        statuses = await asyncio.gather(
            *(self.engines.status(vm.address) for vm in vms),
        )
        group = GroupRecord(
            group_id=group_id,
            deployment=name,
            failure_domain=self.failure_domain,
            fabric_domain=vms[0].fabric_domain,
            generation=self.lease.fencing,
            members=tuple(map(_member, vms, statuses)),
            model=deployment.model,
            model_version=deployment.model_version,
            state=GroupState.FORMING,
            adapters=tuple(deployment.adapters),
        )
        await self.platform.commit(_claim(group))
        logger.info('group {} claimed', group_id)

    async def _claims(self) -> Mapping[str, Row]:
        prefix = f'{CLAIM_PREFIX}{self.failure_domain}/'
        rows = await self.platform.scan(prefix)
        return {row.key.removeprefix(prefix): row for row in rows}

    def _own_vms(self, listed: Iterable[VmListing]) -> Sequence[VmListing]:
        return [vm for vm in listed if vm.failure_domain == self.failure_domain]

    async def _complete(self, group: GroupRecord, revision: int) -> None:
        statuses = await asyncio.gather(
            *(self._order(group, rank) for rank in range(len(group.members))),
        )
        is_whole = all(
            holds_order(status, group, member)
            for status, member in zip(statuses, group.members, strict=True)
        )
        if not is_whole:
            return
        serving = replace(group, state=GroupState.SERVING)
        await self.platform.commit(
            Transaction(
                (Condition(group.key, revision),),
                (Write(group.key, group_to_fields(serving)),),
            ),
        )
        logger.info('group {} serves', group.group_id)

    async def _order(self, group: GroupRecord, rank: int) -> EngineStatus:
        if not self.lease.is_held():
            raise LeaseLost(f'lease of {self.failure_domain} is not held')
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
        return await self.engines.order(group.members[rank].address, order)


def _member(vm: VmListing, status: EngineStatus) -> Member:
    return Member(vm.vm_id, vm.address, status.incarnation)


def _claim(group: GroupRecord) -> Transaction:
    keys = [
        f'{CLAIM_PREFIX}{group.failure_domain}/{member.vm_id}'
        for member in group.members
    ]
    fields = {'group_id': group.group_id, 'generation': group.generation}
    return Transaction(
        conditions=(
            Condition(group.key, 0),
            *(Condition(key, 0) for key in keys),
        ),
        writes=(
            Write(group.key, group_to_fields(group)),
            *(Write(key, fields) for key in keys),
        ),
    )
