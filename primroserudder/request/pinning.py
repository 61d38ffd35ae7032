"""Pins requests to a model version while a new one is rolled out."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from ..version.document import ModelDeployment
from ..version.holder import VersionHolder
from .caller import CallerRequest

HASH_BITS = 64


def hash_fraction(request: CallerRequest) -> float:
    """Return a number in [0, 1) that repeats of a request share.

    Explanation
    ===========
    It depends on workspace and content alone, so that all entries find the
    same number without talking to each other.
    """
    digest = xxhash.xxh3_64(request.workspace.encode())
    digest.update(request.service_name.encode())
    digest.update(request.body)
    return float(digest.intdigest() / 2**HASH_BITS)


@dataclass(slots=True)
class VersionPins:
    """The share of requests that has moved to each wanted version.

    Explanation
    ===========
    The share follows the share of groups that serve the wanted version and
    only rises. A request moves once, when the share passes its fraction, and
    its repeats get the old version's answer before and the new one's after.

    Examples
    ========
    >>> pins = VersionPins()
    >>> pins.moved('ledger', 'v2', {'v1': 3, 'v2': 1})
    0.25
    >>> pins.moved('ledger', 'v2', {'v1': 4, 'v2': 0})
    0.25
    """

    share_by_rollout: dict[tuple[str, str], float] = field(
        default_factory=dict,
    )

    def pick(
        self,
        request: CallerRequest,
        wanted: str,
        versions: Iterable[str],
    ) -> str:
        """Return the version that shall answer a request."""
        groups_by_version = Counter(versions)
        if len(groups_by_version) == 1:
            return next(iter(groups_by_version))
        deployment = request.service.deployment
        share = self.moved(deployment, wanted, groups_by_version)
        if hash_fraction(request) < share:
            return wanted
        others = sorted(
            (-count, version)
            for version, count in groups_by_version.items()
            if version != wanted
        )
        return others[0][1]

    def moved(
        self,
        deployment: str,
        wanted: str,
        groups_by_version: Mapping[str, int],
    ) -> float:
        """Return the share of requests that the wanted version answers."""
        total = sum(groups_by_version.values())
        share = groups_by_version.get(wanted, 0) / total
        rollout = (deployment, wanted)
        known = self.share_by_rollout.get(rollout, 0)
        self.share_by_rollout[rollout] = max(known, share)
        return self.share_by_rollout[rollout]

    def dump(self) -> Mapping[str, float]:
        """Return the shares for the state dump."""
        return {
            f'{deployment}/{version}': round(share, 4)
            for (deployment, version), share in self.share_by_rollout.items()
        }


def wanted_version(holder: VersionHolder, deployment: str) -> str:
    """Return the model version that the configuration in force wants."""
    deployments = holder.current.rendered.document.deployments
    found = deployments.get(deployment)
    return found.model_version if isinstance(found, ModelDeployment) else ''
