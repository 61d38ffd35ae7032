"""Quarantines requests that were running when several groups were lost.

Explanation
===========
A request may crash each engine that runs it and be sent again under another
id, to any VM. Strikes are therefore counted by content and shared with the
other VMs through the exchange. A completed run clears the content.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from .call import Call

STRIKES_TO_QUARANTINE = 3
MAX_CONTENTS = 5000
MAX_SHARED_STRIKES = 40


@dataclass(slots=True)
class StrikeRegistry:
    """The groups lost while they ran a content, by its digest.

    Examples
    ========
    >>> registry = StrikeRegistry()
    >>> for group in ('a.1', 'a.2', 'a.2'):
    ...     registry.strike('digest', group)
    >>> registry.is_quarantined('digest')
    False
    >>> registry.strike('digest', 'a.3')
    >>> registry.is_quarantined('digest')
    True
    """

    groups_by_digest: OrderedDict[str, set[str]] = field(
        default_factory=OrderedDict,
    )
    cleared: OrderedDict[str, bool] = field(default_factory=OrderedDict)

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a content must not run again."""
        return self.count(digest) >= STRIKES_TO_QUARANTINE

    def count(self, digest: str) -> int:
        """Return the number of groups lost while they ran a content."""
        return len(self.groups_by_digest.get(digest, ()))

    def strike(self, digest: str, group: str) -> None:
        """Record that a group was lost while it ran a content."""
        if digest in self.cleared:
            return
        self.groups_by_digest.setdefault(digest, set()).add(group)
        self.groups_by_digest.move_to_end(digest)
        while len(self.groups_by_digest) > MAX_CONTENTS:
            self.groups_by_digest.popitem(last=False)

    def clear(self, digest: str) -> None:
        """Record that a content ran to completion, and delete its strikes."""
        self.groups_by_digest.pop(digest, None)
        self.cleared[digest] = True
        while len(self.cleared) > MAX_CONTENTS:
            self.cleared.popitem(last=False)

    def recent(self) -> tuple[str, ...]:
        """Return the latest strikes as ``digest=group``, for the other VMs."""
        latest = list(self.groups_by_digest.items())[-MAX_SHARED_STRIKES:]
        return tuple(
            f'{digest}={group}'
            for digest, groups in latest
            for group in sorted(groups)
        )[-MAX_SHARED_STRIKES:]

    def merge(self, strikes: Iterable[str]) -> list[str]:
        """Merge strikes that another VM reported; return the new ones."""
        merged = []
        for strike in strikes:
            digest, _, group = strike.partition('=')
            if group not in self.groups_by_digest.get(digest, ()):
                before = self.count(digest)
                self.strike(digest, group)
                if self.count(digest) > before:
                    merged.append(strike)
        return merged


def content_digest(call: Call) -> str:
    """Return a digest of a request's content that ignores its id."""
    digest = xxhash.xxh3_64(call.raw_path.encode())
    digest.update(call.metadata.api_key.encode())
    digest.update(call.body)
    return digest.hexdigest()
