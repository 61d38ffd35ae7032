"""Decoding of the operators' rows that evacuate failure domains."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..process.platform import Row
from .names import EVACUATION_PREFIX, OPERATOR_TABLE

# Longer than any name of a failure domain; a key of this size is an accident.
MAX_DOMAIN_CHARS = 255
_KEY_PREFIX = f'{OPERATOR_TABLE}/{EVACUATION_PREFIX}'


@dataclass(frozen=True, slots=True)
class EvacuationRows:
    """The evacuated failure domains, and the keys that name none.

    Parameters
    ==========
    revision_by_domain : Mapping
        The revision of the row of each evacuated domain.
    malformed_keys : frozenset of str
        Keys whose domain name is empty or over-long.
    """

    revision_by_domain: Mapping[str, int]
    malformed_keys: frozenset[str]


def decode_evacuations(rows_by_key: Mapping[str, Row]) -> EvacuationRows:
    """Return what the operators' rows say about evacuations.

    Explanation
    ===========
    Only the key counts. The value is ignored, so that a malformed value does
    not keep a domain in use.

    Examples
    ========
    >>> rows = ('op/config', 'op/evacuate/north', 'op/evacuate/')
    >>> decode_evacuations({key: Row(key, 7, {}) for key in rows})
    EvacuationRows(revision_by_domain={'north': 7}, \
malformed_keys=frozenset({'op/evacuate/'}))
    """
    revision_by_domain = {}
    malformed_keys = set()
    for key, row in rows_by_key.items():
        if not key.startswith(_KEY_PREFIX):
            continue
        domain = key.removeprefix(_KEY_PREFIX)
        if 0 < len(domain) <= MAX_DOMAIN_CHARS:
            revision_by_domain[domain] = row.revision
        else:
            malformed_keys.add(key)
    return EvacuationRows(revision_by_domain, frozenset(malformed_keys))
