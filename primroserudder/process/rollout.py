"""Plans which groups of a deployment are formed, drained and resumed.

Explanation
===========
The same rule handles planned stops, roll-outs of model versions and changes of
the number of groups: groups affected by a stop do not count, missing groups
are formed, and a group is drained once enough others serve. The plan depends
only on the rows and the configuration, so a new controller continues where
the previous one ended.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from ..version.document import ModelDeployment
from .groups import GroupRecord, GroupState


@dataclass(frozen=True, slots=True)
class DeploymentView:
    """The state of one deployment in one failure domain.

    Parameters
    ==========
    affected : collection of str
        The ids of the groups that an active stop affects.
    accepts_loss : bool
        The affected groups may be drained without a replacement.
    has_spares : bool
        The free VMs suffice for at least one more group.
    is_halted : bool
        The roll-out of this model version failed and was halted.
    is_in_place : bool
        The operator allows draining old groups before new ones serve.
    """

    deployment: ModelDeployment
    wanted: int
    groups: Sequence[GroupRecord]
    affected: Collection[str] = ()
    accepts_loss: bool = False
    has_spares: bool = False
    is_halted: bool = False
    is_in_place: bool = False


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """The next step for one deployment; ``form`` is a number of groups."""

    form: int = 0
    drain: Sequence[GroupRecord] = ()
    resume: Sequence[GroupRecord] = ()
    note: str = ''


def is_current(group: GroupRecord, deployment: ModelDeployment) -> bool:
    """Return whether a group has the configured model and version."""
    version = (group.model, group.model_version)
    return version == (deployment.model, deployment.model_version)


def plan_deployment(view: DeploymentView) -> DeploymentPlan:
    """Return the next step for one deployment."""
    counted = [
        group
        for group in view.groups
        if group.group_id not in view.affected and _is_active(group)
    ]
    affected = [
        group
        for group in view.groups
        if group.group_id in view.affected and _is_active(group)
    ]
    missing = max(0, view.wanted - len(counted))
    resume = _groups_to_resume(view)[:missing]
    drain = (
        *_affected_to_drain(view, counted, affected),
        *_surplus_to_drain(view, counted),
    )
    surge, note = _surge(view, counted)
    return DeploymentPlan(
        form=missing - len(resume) + surge,
        drain=drain,
        resume=resume,
        note=note,
    )


def _groups_to_resume(view: DeploymentView) -> Sequence[GroupRecord]:
    # A group is resumed if its stop was cancelled or the configuration was
    # reverted.
    return [
        group
        for group in _draining(view)
        if group.group_id not in view.affected
        and is_current(group, view.deployment)
    ]


def _affected_to_drain(
    view: DeploymentView,
    counted: Sequence[GroupRecord],
    affected: Sequence[GroupRecord],
) -> Sequence[GroupRecord]:
    unreplaced = max(0, view.wanted - len(_serving(counted)))
    is_forming = len(counted) > len(_serving(counted))
    cannot_replace = not view.has_spares and not is_forming
    if cannot_replace and view.accepts_loss:
        return affected
    # Groups that do not serve yet have no requests, so they can be drained now.
    forming = [group for group in affected if group.state is GroupState.FORMING]
    serving = _serving(affected)
    return (*forming, *serving[unreplaced:])


def _surplus_to_drain(
    view: DeploymentView,
    counted: Sequence[GroupRecord],
) -> Sequence[GroupRecord]:
    if any(group.group_id not in view.affected for group in _draining(view)):
        return ()
    serving = _serving(counted)
    stale = [
        group for group in serving if not is_current(group, view.deployment)
    ]
    if len(serving) > view.wanted:
        # Affected groups are replaced first; then the surplus is drained.
        return (stale or serving)[-1:]
    may_drain_first = view.is_in_place and not view.is_halted
    is_settled = len(counted) == len(serving) == view.wanted
    if may_drain_first and is_settled and not view.has_spares:
        return stale[-1:]
    return ()


def _surge(
    view: DeploymentView,
    counted: Sequence[GroupRecord],
) -> tuple[int, str]:
    stale = [
        group for group in counted if not is_current(group, view.deployment)
    ]
    if not stale:
        return 0, ''
    version = view.deployment.model_version
    if view.is_halted:
        return 0, f'roll-out of {version} is halted'
    if len(counted) != view.wanted or len(_serving(counted)) != len(counted):
        return 0, f'roll-out of {version}: {len(stale)} groups to go'
    if not view.has_spares:
        return 0, f'roll-out of {version} waits for spare VMs'
    return 1, f'roll-out of {version}: {len(stale)} groups to go'


def _is_active(group: GroupRecord) -> bool:
    return group.state in {GroupState.FORMING, GroupState.SERVING}


def _draining(view: DeploymentView) -> Sequence[GroupRecord]:
    return [
        group for group in view.groups if group.state is GroupState.DRAINING
    ]


def _serving(groups: Sequence[GroupRecord]) -> Sequence[GroupRecord]:
    return [group for group in groups if group.state is GroupState.SERVING]
