"""The rows by which engines are claimed for groups."""

from collections.abc import Mapping
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, ValidationError

from .model import Formation


class _ClaimRow(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore')

    epoch: int
    model: str
    members: tuple[str, ...]
    born: Mapping[str, int] = {}


@dataclass(frozen=True, slots=True)
class Claim:
    """A formation as its row holds it, with the births of its members."""

    formation: Formation
    born_by_member: Mapping[str, int]


def encode_claim(
    formation: Formation,
    born_by_member: Mapping[str, int],
) -> Mapping[str, object]:
    """Return the fields of a claim's row."""
    return {
        'epoch': formation.epoch,
        'model': formation.model,
        'members': list(formation.members),
        'born': dict(born_by_member),
    }


def decode_claim(key: str, fields: Mapping[str, object]) -> Claim | None:
    """Return the claim that a row holds, or ``None`` if it holds none.

    Examples
    ========
    >>> decode_claim('groups/a.1', {'epoch': 1}) is None
    True
    """
    try:
        row = _ClaimRow.model_validate(fields)
    except ValidationError:
        return None
    if not row.members:
        return None
    name = key.partition('/')[2]
    formation = Formation(name, row.epoch, row.model, row.members)
    return Claim(formation, row.born)
