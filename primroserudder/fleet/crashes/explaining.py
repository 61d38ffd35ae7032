"""Decides which suspects explain the crashes of engines.

Explanation
===========
A crash, the end of one incarnation of an engine, has one cause, but strikes
all that ran there. The suspect with most unexplained crashes is quarantined
first, and explains all crashes under it; the others keep the rest. Of several
with the same crashes the rarest is quarantined, so that refusing it costs the
fewest sound callers. A content may crash engines together with others that do:
its crashes would all be explained. With a few more than another cause accounts
for, and no answer so far, it is quarantined as well. Parts are not, as many
sound requests may bear them.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from .suspects import is_part

STRIKES_TO_QUARANTINE = 3
# Of a content, explained or not. It may reach three engines after its third
# crash; one of these may be running it when it is quarantined.
STRIKES_IN_ALL = STRIKES_TO_QUARANTINE + 2
Incarnation = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Attribution:
    """The quarantined suspects and the crashes that they explain."""

    crashes_by_cause: Mapping[str, Collection[Incarnation]] = field(
        default_factory=dict,
    )
    explained: frozenset[Incarnation] = frozenset()


def attribute(
    crashes_by_suspect: Mapping[str, frozenset[Incarnation]],
    rarity: Callable[[str], tuple[float, bool, str]],
    has_completed: Collection[str] | None = None,
) -> Attribution:
    """Attribute crashes to suspects, the same for any order of strikes.

    Parameters
    ==========
    rarity : Callable
        Returns a sort key of a suspect; of equals the lowest is quarantined.
    has_completed : collection of str, optional
        Suspects that were seen to complete; ``None`` if too few were. Many
        callers may send such a content, so that it was there when others
        crashed engines.

    Examples
    ========
    >>> crashing = frozenset({('a', 1), ('b', 1), ('c', 1), ('d', 1)})
    >>> bystander = crashing - {('d', 1)}
    >>> attribution = attribute(
    ...     {'part.b': bystander, 'part.g': crashing},
    ...     lambda key: (1, False, key),
    ... )
    >>> sorted(attribution.crashes_by_cause)
    ['part.g']
    """
    left = dict(crashes_by_suspect)
    causes: dict[str, Collection[Incarnation]] = {}
    explained: frozenset[Incarnation] = frozenset()
    while True:
        left = _unexplained(left, explained)
        if not left:
            if has_completed is not None:
                causes.update(
                    _struck_too_often(crashes_by_suspect, has_completed)
                )
            return Attribution(causes, explained)
        most = max(map(len, left.values()))
        cause = min(
            (key for key, crashes in left.items() if len(crashes) == most),
            key=rarity,
        )
        causes[cause] = crashes_by_suspect[cause]
        explained |= left.pop(cause)


def _struck_too_often(
    crashes_by_suspect: Mapping[str, frozenset[Incarnation]],
    has_completed: Collection[str],
) -> dict[str, frozenset[Incarnation]]:
    """Return the contents with too many crashes, whoever explains them."""
    return {
        key: crashes
        for key, crashes in crashes_by_suspect.items()
        if len(crashes) >= STRIKES_IN_ALL
        and not is_part(key)
        and key not in has_completed
    }


def _unexplained(
    crashes_by_suspect: Mapping[str, frozenset[Incarnation]],
    explained: frozenset[Incarnation],
) -> dict[str, frozenset[Incarnation]]:
    """Return the suspects that still have enough crashes, with these."""
    unexplained = {
        key: crashes - explained for key, crashes in crashes_by_suspect.items()
    }
    return {
        key: crashes
        for key, crashes in unexplained.items()
        if len(crashes) >= STRIKES_TO_QUARANTINE
    }
