"""Index of the prompt blocks in the groups' prefix caches."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..process.engines import CacheEvent

MAX_BLOCKS_PER_GROUP = 2048
MAX_HOLDERS = 6


@dataclass(slots=True)
class PrefixIndex:
    """Estimated prefix cache contents from sent prompts and cache events.

    Explanation
    ===========
    Cache events arrive late and with gaps, so the index may contain evicted
    blocks and lack cached ones. Such errors affect only the cost of a
    request, never its response. The number of blocks per group is bounded,
    and the least recently used blocks are dropped first.

    Examples
    ========
    >>> index = PrefixIndex()
    >>> index.note('g1', ['a', 'b'])
    >>> index.holders(['a', 'b', 'c'])
    ['g1']
    >>> index.cached_prefix_blocks('g1', ['a', 'b', 'c'])
    2
    """

    max_blocks: int = MAX_BLOCKS_PER_GROUP
    blocks_by_group: dict[str, OrderedDict[str, None]] = field(
        default_factory=dict,
    )
    groups_by_block: dict[str, dict[str, None]] = field(default_factory=dict)

    def note(self, group_id: str, block_hashes: Iterable[str]) -> None:
        """Record that a group has blocks, the most recently used last."""
        blocks = self.blocks_by_group.setdefault(group_id, OrderedDict())
        for block_hash in block_hashes:
            blocks[block_hash] = None
            blocks.move_to_end(block_hash)
            self.groups_by_block.setdefault(block_hash, {})[group_id] = None
        while len(blocks) > self.max_blocks:
            oldest, _ = blocks.popitem(last=False)
            self._unlink(group_id, oldest)

    def apply_event(self, group_id: str, event: CacheEvent) -> None:
        """Apply a cache event of the group's engine."""
        self.note(group_id, event.stored)
        blocks = self.blocks_by_group[group_id]
        for block_hash in event.evicted:
            if block_hash in blocks:
                blocks.pop(block_hash)
                self._unlink(group_id, block_hash)

    def forget(self, group_id: str) -> None:
        """Drop all blocks of a group that was removed or restarted."""
        for block_hash in self.blocks_by_group.pop(group_id, ()):
            self._unlink(group_id, block_hash)

    def is_known(self, block_hash: str) -> bool:
        """Return whether any group is known to have a block."""
        return block_hash in self.groups_by_block

    def holders(self, block_hashes: Sequence[str]) -> Sequence[str]:
        """Return up to ``MAX_HOLDERS`` groups, longest known prefix first."""
        group_ids: dict[str, None] = {}
        for block_hash in reversed(block_hashes):
            # Groups recorded last come first, as they were used last.
            group_ids.update(
                dict.fromkeys(reversed(self._groups_with(block_hash)))
            )
            if len(group_ids) >= MAX_HOLDERS:
                break
        return list(group_ids)[:MAX_HOLDERS]

    def cached_prefix_blocks(
        self, group_id: str, block_hashes: Sequence[str]
    ) -> int:
        """Return the estimated number of leading blocks that a group has."""
        blocks = self.blocks_by_group.get(group_id)
        if not blocks:
            return 0
        low, high = 0, len(block_hashes)
        # A block's hash covers its prefix, so the known blocks are a leading
        # run, except for evictions inside it. A binary search suffices.
        while low < high:
            middle = (low + high) // 2
            if block_hashes[middle] in blocks:
                low = middle + 1
            else:
                high = middle
        return low

    def dump(self) -> Mapping[str, int]:
        """Return the number of indexed blocks of each group."""
        return {
            group_id: len(blocks)
            for group_id, blocks in self.blocks_by_group.items()
        }

    def _groups_with(self, block_hash: str) -> dict[str, None]:
        return self.groups_by_block.get(block_hash, {})

    def _unlink(self, group_id: str, block_hash: str) -> None:
        groups = self.groups_by_block[block_hash]
        groups.pop(group_id, None)
        if not groups:
            self.groups_by_block.pop(block_hash)
