"""Pins requests to a model version during a rollout."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from ..version.document import ModelDeployment
from ..version.holder import VersionHolder
from .caller import CallerRequest

HASH_BITS = 64


def hash_fraction(request: CallerRequest) -> float:
    """Return a number in [0, 1) that is equal for repeats of a request.

    Explanation
    ===========
    It is a hash of workspace, service and body only, so that all entries
    compute the same number without communication.
    """
    digest = xxhash.xxh3_64(request.workspace.encode())
    digest.update(request.service_name.encode())
    digest.update(request.body)
    return float(digest.intdigest() / 2**HASH_BITS)


@dataclass(slots=True)
class VersionPins:
    """Share of requests that have moved to each wanted version.

    Explanation
    ===========
    The share equals the highest share of groups that served the wanted
    version so far, so it never falls. A request moves once, when the share
    exceeds its hash fraction: repeats are served by the old version before
    and by the new version afterwards.

    Examples
    ========
    >>> pins = VersionPins()
    >>> pins.moved_share('ledger', 'v2', {'v1': 3, 'v2': 1})
    0.25
    >>> pins.moved_share('ledger', 'v2', {'v1': 4, 'v2': 0})
    0.25
    """

    share_by_rollout: dict[tuple[str, str], float] = field(
        default_factory=dict,
    )

    def choose_version(
        self,
        request: CallerRequest,
        wanted: str,
        versions: Iterable[str],
    ) -> str:
        """Return the model version that must serve a request."""
        groups_by_version = Counter(versions)
        if len(groups_by_version) == 1:
            return next(iter(groups_by_version))
        deployment = request.service.deployment
        share = self.moved_share(deployment, wanted, groups_by_version)
        if hash_fraction(request) < share:
            return wanted
        other_versions = sorted(
            (-count, version)
            for version, count in groups_by_version.items()
            if version != wanted
        )
        return other_versions[0][1]

    def moved_share(
        self,
        deployment: str,
        wanted: str,
        groups_by_version: Mapping[str, int],
    ) -> float:
        """Update and return the share of requests for the wanted version."""
        total = sum(groups_by_version.values())
        share = groups_by_version.get(wanted, 0) / total
        rollout = (deployment, wanted)
        previous_share = self.share_by_rollout.get(rollout, 0)
        self.share_by_rollout[rollout] = max(previous_share, share)
        return self.share_by_rollout[rollout]

    def dump(self) -> Mapping[str, float]:
        """Return the moved shares for the state dump."""
        return {
            f'{deployment}/{version}': round(share, 4)
            for (deployment, version), share in self.share_by_rollout.items()
        }


def wanted_version(holder: VersionHolder, deployment: str) -> str:
    """Return the configured model version, or '' if there is none."""
    deployments = holder.current.rendered.document.deployments
    deployment_settings = deployments.get(deployment)
    return (
        deployment_settings.model_version
        if isinstance(deployment_settings, ModelDeployment)
        else ''
    )
