"""Decoding of the lists of regions to which requests are bound."""

from collections.abc import Iterable

from pydantic import BaseModel, ConfigDict, Field


class BoundPart(BaseModel):
    """A part of the configuration that may bind requests to regions."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    name: str = Field(alias='Name', default='')
    # Any value: a list that can't be read leaves the other fields in force.
    regions: object = Field(alias='AllowedRegions', default=None)


def unreadable_names(parts: Iterable[BoundPart]) -> tuple[str, ...]:
    """Return the names of the parts whose list of regions can't be read."""
    return tuple(
        part.name for part in parts if not is_region_list(part.regions)
    )


def is_region_list(listed: object) -> bool:
    """Return whether a list of regions is missing or can be read.

    Examples
    ========
    >>> is_region_list(None), is_region_list(['south']), is_region_list([7])
    (True, True, False)
    """
    if listed is None:
        return True
    return isinstance(listed, list) and all(
        isinstance(name, str) for name in listed
    )


def decode_regions(listed: object) -> frozenset[str] | None:
    """Return the listed regions, ``None`` if there are none.

    Examples
    ========
    >>> decode_regions(['south']), decode_regions([]), decode_regions('south')
    (frozenset({'south'}), None, None)
    """
    if not isinstance(listed, list) or not is_region_list(listed):
        return None
    return frozenset(listed) or None
