"""Requests whose content was running each time that a group was lost.

Explanation
===========
Answers a request that crashes each engine that begins to run it and comes
again under another id, at any VM. Strikes are told to the other VMs with the
exchange; a completed run clears the content.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from .call import Call

STRIKES_TO_QUARANTINE = 3
MOST_CONTENTS = 5000
MOST_TOLD = 40


@dataclass(slots=True)
class StrikeRegistry:
    """Groups lost under a content, by the content's digest.

    Examples
    ========
    >>> book = StrikeRegistry()
    >>> for group in ('a.1', 'a.2', 'a.2'):
    ...     book.strike('digest', group)
    >>> book.is_quarantined('digest')
    False
    >>> book.strike('digest', 'a.3')
    >>> book.is_quarantined('digest')
    True
    """

    groups_by_digest: OrderedDict[str, set[str]] = field(
        default_factory=OrderedDict,
    )
    cleared: OrderedDict[str, bool] = field(default_factory=OrderedDict)

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a content is not to be run again."""
        groups = self.groups_by_digest.get(digest, ())
        return len(groups) >= STRIKES_TO_QUARANTINE

    def strike(self, digest: str, group: str) -> None:
        """Note that a group was lost while it ran a content."""
        if digest in self.cleared:
            return
        self.groups_by_digest.setdefault(digest, set()).add(group)
        self.groups_by_digest.move_to_end(digest)
        while len(self.groups_by_digest) > MOST_CONTENTS:
            self.groups_by_digest.popitem(last=False)

    def clear(self, digest: str) -> None:
        """Note that a content was seen complete."""
        self.groups_by_digest.pop(digest, None)
        self.cleared[digest] = True
        while len(self.cleared) > MOST_CONTENTS:
            self.cleared.popitem(last=False)

    def recent(self) -> tuple[str, ...]:
        """Return the latest strikes for the other VMs."""
        latest = list(self.groups_by_digest.items())[-MOST_TOLD:]
        return tuple(
            f'{digest}={group}'
            for digest, groups in latest
            for group in sorted(groups)
        )[-MOST_TOLD:]

    def merge(self, told: Iterable[str]) -> None:
        """Take over strikes that another VM told of."""
        for one in told:
            digest, _, group = one.partition('=')
            if group not in self.groups_by_digest.get(digest, ()):
                self.strike(digest, group)


def content_digest(call: Call) -> str:
    """Return what names a request's content, whatever its id."""
    digest = xxhash.xxh3_64(call.raw_path.encode())
    digest.update(call.facts.api_key.encode())
    digest.update(call.body)
    return digest.hexdigest()
