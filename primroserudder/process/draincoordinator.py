"""Carries out planned stops and roll-outs in one failure domain."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace

from loguru import logger

from ..errors import RudderError
from ..version.document import ModelDeployment
from ..version.holder import VersionHolder
from .domainsnapshot import DomainSnapshot, read_snapshot
from .drains import GroupDrainer
from .groups import GroupRecord, GroupState, group_to_fields
from .invariants import Invariants
from .platform import (
    Condition,
    PlatformClient,
    Row,
    Transaction,
    Write,
)
from .rollout import DeploymentPlan, DeploymentView, plan_deployment
from .rolloutrows import RolloutRows
from .stops import (
    Stop,
    StopState,
    affected_groups,
    count_spare_groups,
    stop_to_fields,
)


@dataclass(frozen=True, slots=True)
class FormingConstraints:
    """The VMs to exclude and the plans to follow when groups are formed."""

    excluded: Collection[str] = ()
    plans_by_deployment: Mapping[str, DeploymentPlan] = field(
        default_factory=dict,
    )


@dataclass(slots=True)
class DrainCoordinator:
    """Drains, resumes and retires groups for stops and roll-outs.

    Explanation
    ===========
    State that must survive the controller is stored in the platform's rows.
    """

    platform: PlatformClient
    holder: VersionHolder
    drainer: GroupDrainer
    invariants: Invariants
    rollouts: RolloutRows
    notes_by_deployment: dict[str, str] = field(default_factory=dict)

    @property
    def failure_domain(self) -> str:
        """Return the failure domain that this coordinator serves."""
        return self.drainer.lease.failure_domain

    async def step(self, rows: Sequence[Row]) -> FormingConstraints:
        """Advance stops and roll-outs by one step.

        Explanation
        ===========
        The result limits which groups the controller forms in this step.
        """
        snapshot = await read_snapshot(self.platform, self.failure_domain, rows)
        plans = {
            name: await self._plan(name, snapshot)
            for name in self._deployment_names(snapshot)
        }
        self.drainer.retain_only(snapshot.draining())
        resumed: set[str] = set()
        for name, plan in plans.items():
            self.notes_by_deployment[name] = plan.note
            resumed.update(group.group_id for group in plan.resume)
            await self._execute(plan, snapshot)
        for group in snapshot.draining():
            if group.group_id not in resumed:
                await self._drain(group, snapshot)
        for row, stop in snapshot.stop_rows:
            await self._update_stop(row, stop, snapshot)
        return FormingConstraints(snapshot.excluded, plans)

    def dump(self) -> Mapping[str, object]:
        """Return the drains and roll-outs for the state dump."""
        return {
            'drains': self.drainer.dump(),
            'rollouts': {
                name: note
                for name, note in self.notes_by_deployment.items()
                if note
            },
        }

    async def _execute(
        self, plan: DeploymentPlan, snapshot: DomainSnapshot
    ) -> None:
        for group in plan.drain:
            if await self._change(group, GroupState.DRAINING, snapshot):
                # Order the drain at once; the next step continues it.
                await self.drainer.step(group, ())
        for group in plan.resume:
            if await self.drainer.resume(group):
                await self._change(group, GroupState.SERVING, snapshot)

    def _deployment_names(self, snapshot: DomainSnapshot) -> Sequence[str]:
        configured = self.holder.current.rendered.document.deployments
        models = {
            name
            for name, deployment in configured.items()
            if isinstance(deployment, ModelDeployment)
        }
        return sorted(models | {group.deployment for group in snapshot.groups})

    async def _plan(
        self, name: str, snapshot: DomainSnapshot
    ) -> DeploymentPlan:
        document = self.holder.current.rendered.document
        deployment = document.deployments.get(name)
        groups = [
            group for group in snapshot.groups if group.deployment == name
        ]
        if not isinstance(deployment, ModelDeployment):
            # The deployment was removed, so all its groups are drained.
            return DeploymentPlan(
                drain=[
                    group
                    for group in groups
                    if group.state is not GroupState.DRAINING
                ],
            )
        view = self._view(deployment, groups, snapshot)
        flags = await self.rollouts.update_flags(name, view, self.drainer.clock)
        plan = plan_deployment(
            replace(
                view,
                is_halted=flags.is_halted,
                is_in_place=flags.is_in_place,
            ),
        )
        failed = flags.failed
        return plan if failed is None else replace(plan, drain=(failed,))

    def _view(
        self,
        deployment: ModelDeployment,
        groups: Sequence[GroupRecord],
        snapshot: DomainSnapshot,
    ) -> DeploymentView:
        affected_by_stop = [
            (
                stop,
                affected_groups(groups, snapshot.covered_by_stop[stop.stop_id]),
            )
            for stop in snapshot.active
        ]
        claimed = {row.key.rpartition('/')[2] for row in snapshot.claims}
        spares = count_spare_groups(
            snapshot.listed,
            claimed.union(snapshot.excluded),
            deployment.pool,
            deployment.group_size,
        )
        by_domain = deployment.groups_by_failure_domain
        return DeploymentView(
            deployment=deployment,
            wanted=by_domain.get(self.failure_domain, 0),
            groups=groups,
            affected={
                group.group_id
                for _, affected in affected_by_stop
                for group in affected
            },
            accepts_loss=all(
                stop.accepts_loss
                for stop, affected in affected_by_stop
                if affected
            ),
            has_spares=spares > 0,
        )

    async def _change(
        self,
        group: GroupRecord,
        state: GroupState,
        snapshot: DomainSnapshot,
    ) -> bool:
        row = snapshot.rows_by_group[group.group_id]
        changed = replace(group, state=state)
        transaction = Transaction(
            (Condition(row.key, row.revision),),
            (Write(row.key, group_to_fields(changed)),),
        )
        is_changed = await self._commit(transaction, 'group_changes')
        if is_changed:
            logger.info('group {} is {}', group.group_id, state.value)
        return is_changed

    async def _drain(
        self, group: GroupRecord, snapshot: DomainSnapshot
    ) -> None:
        unlisted = {member.vm_id for member in group.members} - {
            vm.vm_id for vm in snapshot.listed
        }
        if not await self.drainer.step(group, unlisted):
            return
        row = snapshot.rows_by_group[group.group_id]
        claims = [
            claim
            for claim in snapshot.claims
            if claim.fields['group_id'] == group.group_id
            and claim.fields['generation'] == group.generation
        ]
        self.invariants.require(
            group.state is GroupState.DRAINING,
            'only_drained_groups_retire',
            f'group {group.group_id} would be retired without a drain',
        )
        transaction = Transaction(
            (
                Condition(row.key, row.revision),
                *(Condition(claim.key, claim.revision) for claim in claims),
            ),
            (
                Write(row.key, None),
                *(Write(claim.key, None) for claim in claims),
            ),
        )
        if await self._commit(transaction, 'groups_retired'):
            self.drainer.forget(group)
            logger.info('group {} is retired', group.group_id)

    async def _update_stop(
        self, row: Row, stop: Stop, snapshot: DomainSnapshot
    ) -> None:
        updated = self._progress(stop, snapshot)
        if updated == stop:
            return
        transaction = Transaction(
            (Condition(row.key, row.revision),),
            (Write(row.key, stop_to_fields(updated)),),
        )
        if await self._commit(transaction, 'stop_changes'):
            logger.info('stop {} is {}', stop.stop_id, updated.state.value)

    def _progress(self, stop: Stop, snapshot: DomainSnapshot) -> Stop:
        remaining = affected_groups(
            snapshot.groups, snapshot.covered_by_stop[stop.stop_id]
        )
        names = ', '.join(group.group_id for group in remaining)
        draining = [
            group for group in remaining if group.state is GroupState.DRAINING
        ]
        if not remaining:
            return replace(stop, state=StopState.SAFE, note='')
        if draining:
            return replace(stop, state=StopState.DRAINING, note=names)
        if stop in snapshot.active:
            return replace(stop, state=StopState.REPLACING, note=names)
        return replace(stop, state=StopState.WAITING, note=names)

    async def _commit(self, transaction: Transaction, counter: str) -> bool:
        try:
            await self.platform.commit(transaction)
        except RudderError as error:
            # The next step reads the rows again and finds what took effect.
            self.invariants.metrics.count('failed_commits', code=error.code)
            return False
        self.invariants.metrics.count(counter)
        return True
