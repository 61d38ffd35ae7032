"""Decides which groups of a deployment are formed, drained and kept.

Explanation
===========
One rule serves planned stops, roll-outs of model versions and changes of the
number of groups: groups that are hit by a stop do not count; missing ones
are formed; a group is drained once enough others serve. It is a function of
the rows and the configuration alone, so that a new controller goes on where
its predecessor ended.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from ..version.document import ModelDeployment
from .groups import GroupRecord, GroupState


@dataclass(frozen=True, slots=True)
class DeploymentView:
    """What is known of one deployment in one failure domain.

    Parameters
    ==========
    hit : collection of str
        Groups that an active stop takes out.
    accepts_loss : bool
        The groups that are hit may go without a replacement.
    has_spares : bool
        The free VMs make up at least one more group.
    is_halted : bool
        The roll-out of this model version failed and was halted.
    is_in_place : bool
        The operator lets old groups go before new ones serve.
    """

    deployment: ModelDeployment
    wanted: int
    groups: Sequence[GroupRecord]
    hit: Collection[str] = ()
    accepts_loss: bool = False
    has_spares: bool = False
    is_halted: bool = False
    is_in_place: bool = False


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """What to do next with one deployment."""

    form: int = 0
    drain: Sequence[GroupRecord] = ()
    resume: Sequence[GroupRecord] = ()
    note: str = ''


def is_current(group: GroupRecord, deployment: ModelDeployment) -> bool:
    """Return whether a group has the model version that is configured."""
    held = (group.model, group.model_version)
    return held == (deployment.model, deployment.model_version)


def plan_deployment(view: DeploymentView) -> DeploymentPlan:
    """Return the next step of one deployment."""
    counted = [
        group
        for group in view.groups
        if group.group_id not in view.hit and _is_active(group)
    ]
    hit = [
        group
        for group in view.groups
        if group.group_id in view.hit and _is_active(group)
    ]
    missing = max(0, view.wanted - len(counted))
    resume = _resumed(view)[:missing]
    drain = (*_hit_drains(view, counted, hit), *_surplus(view, counted))
    surge, note = _surge(view, counted)
    return DeploymentPlan(
        form=missing - len(resume) + surge,
        drain=drain,
        resume=resume,
        note=note,
    )


def _resumed(view: DeploymentView) -> Sequence[GroupRecord]:
    # A stop was cancelled, or the configuration went back.
    return [
        group
        for group in _draining(view)
        if group.group_id not in view.hit and is_current(group, view.deployment)
    ]


def _hit_drains(
    view: DeploymentView,
    counted: Sequence[GroupRecord],
    hit: Sequence[GroupRecord],
) -> Sequence[GroupRecord]:
    unreplaced = max(0, view.wanted - len(_serving(counted)))
    is_forming = len(counted) > len(_serving(counted))
    is_hopeless = not view.has_spares and not is_forming
    if is_hopeless and view.accepts_loss:
        return hit
    # Those that do not serve yet leave nobody waiting.
    idle = [group for group in hit if group.state is GroupState.FORMING]
    serving = _serving(hit)
    return (*idle, *serving[unreplaced:])


def _surplus(
    view: DeploymentView,
    counted: Sequence[GroupRecord],
) -> Sequence[GroupRecord]:
    if any(group.group_id not in view.hit for group in _draining(view)):
        return ()
    serving = _serving(counted)
    stale = [
        group for group in serving if not is_current(group, view.deployment)
    ]
    if len(serving) > view.wanted:
        # Hit groups are replaced first; then the surplus may go.
        return (stale or serving)[-1:]
    may_go = view.is_in_place and not view.is_halted
    is_settled = len(counted) == len(serving) == view.wanted
    if may_go and is_settled and not view.has_spares:
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
