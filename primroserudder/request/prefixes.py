"""Which groups have which prompt blocks in their prefix caches."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..process.engines import CacheEvent

MAX_BLOCKS_PER_GROUP = 2048
MAX_HOLDERS = 6


@dataclass(slots=True)
class PrefixIndex:
    """An estimate, from what this entry sent and from cache events.

    Explanation
    ===========
    The events come late and with gaps, so that the index may name blocks
    that are gone and miss blocks that are there. It decides on cost alone,
    never on the answer. Each group keeps a bounded number of blocks, the
    least recently used go first.

    Examples
    ========
    >>> index = PrefixIndex()
    >>> index.note('g1', ['a', 'b'])
    >>> index.holders(['a', 'b', 'c'])
    ['g1']
    >>> index.depth('g1', ['a', 'b', 'c'])
    2
    """

    max_blocks: int = MAX_BLOCKS_PER_GROUP
    blocks_by_group: dict[str, OrderedDict[str, None]] = field(
        default_factory=dict,
    )
    groups_by_block: dict[str, dict[str, None]] = field(default_factory=dict)

    def note(self, group_id: str, names: Iterable[str]) -> None:
        """Note that a group has blocks, the newest last."""
        blocks = self.blocks_by_group.setdefault(group_id, OrderedDict())
        for name in names:
            blocks[name] = None
            blocks.move_to_end(name)
            self.groups_by_block.setdefault(name, {})[group_id] = None
        while len(blocks) > self.max_blocks:
            oldest, _ = blocks.popitem(last=False)
            self._unlink(group_id, oldest)

    def take_event(self, group_id: str, event: CacheEvent) -> None:
        """Take over an event of the group's engine."""
        self.note(group_id, event.stored)
        blocks = self.blocks_by_group[group_id]
        for name in event.evicted:
            if name in blocks:
                blocks.pop(name)
                self._unlink(group_id, name)

    def forget(self, group_id: str) -> None:
        """Drop a group whose engines started anew."""
        for name in self.blocks_by_group.pop(group_id, ()):
            self._unlink(group_id, name)

    def is_known(self, name: str) -> bool:
        """Return whether any group has a block."""
        return name in self.groups_by_block

    def holders(self, names: Sequence[str]) -> Sequence[str]:
        """Return a few groups with the longest known prefixes, best first."""
        found: dict[str, None] = {}
        for name in reversed(names):
            # The last ones noted come first: they were used last.
            found.update(dict.fromkeys(reversed(self._groups(name))))
            if len(found) >= MAX_HOLDERS:
                break
        return list(found)[:MAX_HOLDERS]

    def depth(self, group_id: str, names: Sequence[str]) -> int:
        """Return how many leading blocks a group has."""
        blocks = self.blocks_by_group.get(group_id)
        if not blocks:
            return 0
        low, high = 0, len(names)
        # A block's name covers its prefix, so that the known ones are a
        # leading run but for evictions in its middle.
        while low < high:
            middle = (low + high) // 2
            if names[middle] in blocks:
                low = middle + 1
            else:
                high = middle
        return low

    def dump(self) -> Mapping[str, int]:
        """Return the number of blocks of each group."""
        return {
            group_id: len(blocks)
            for group_id, blocks in self.blocks_by_group.items()
        }

    def _groups(self, name: str) -> dict[str, None]:
        return self.groups_by_block.get(name, {})

    def _unlink(self, group_id: str, name: str) -> None:
        groups = self.groups_by_block[name]
        groups.pop(group_id, None)
        if not groups:
            self.groups_by_block.pop(name)
