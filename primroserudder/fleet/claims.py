"""Encodes and decodes the rows that claim engines for groups."""

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
    """A formation as stored in its row, with its members' start times.

    Explanation
    ===========
    ``born_by_member`` holds start times in milliseconds by engine id.
    """

    formation: Formation
    born_by_member: Mapping[str, int]


def encode_claim(
    formation: Formation,
    born_by_member: Mapping[str, int],
) -> Mapping[str, object]:
    """Return the row fields that store a claim."""
    return {
        'epoch': formation.epoch,
        'model': formation.model,
        'members': list(formation.members),
        'born': dict(born_by_member),
    }


def decode_claim(key: str, fields: Mapping[str, object]) -> Claim | None:
    """Return the claim in a row, or ``None`` if the row is not valid.

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
