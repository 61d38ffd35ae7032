"""Exchanges evidence with entries of this and other failure domains."""

import asyncio
from collections import defaultdict
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from dataclasses import dataclass, field, replace
from itertools import islice
from typing import Protocol

from ..errors import RudderError
from .clock import Clock
from .digest import (
    NEVER,
    DigestReply,
    DigestRequest,
    EntryUse,
    GroupUse,
    RoutingRight,
    prober_key,
    rendezvous,
    row_index,
)
from .evidence import EvidenceBook, right_name
from .evidencestore import EVIDENCE_LIFETIME_S
from .groups import GroupDirectory, GroupRecord
from .membership import Membership, Node
from .uses import UseBook

SHARE_INTERVAL_S = 0.6
PULL_TIMEOUT_S = 0.4
REMOTE_DOMAINS = 3
MAX_PEERS_TRIED = 2
FAILED_PEER_AVOIDED_S = 5
# While a prober lives, its vouches are younger than this, also if relayed.
PEER_SILENT_AFTER_S = 2.6


@dataclass(frozen=True, slots=True)
class Pull:
    """The peers to ask, in order of preference, and whether they relay."""

    candidates: Sequence[Node]
    is_relayed: bool = False


class DigestClient(Protocol):
    """Requests digests from peers."""

    async def pull(self, address: str, request: DigestRequest) -> DigestReply:
        """Return a peer's reply, or raise ``RudderError``."""


@dataclass(slots=True)
class DigestServer:
    """Answers peers' requests for evidence."""

    book: EvidenceBook
    rights: EvidenceBook
    directory: GroupDirectory
    uses: UseBook
    own_domain: str
    # Keys of the entries of the own row, whose vouches are relayed.
    relayed_probers: Collection[int] = ()

    def answer(self, request: DigestRequest) -> DigestReply:
        """Return the evidence that the sender requests and does not have."""
        now = self.book.clock.monotonic()
        self.uses.note(EntryUse(request.sender, 0, request.leaving), now)
        if request.wants_rights:
            self._update_rights()
        store = self.rights if request.wants_rights else self.book
        has_cursor = request.answerer == self.book.key
        return DigestReply(
            sender=self.book.key,
            cursor=store.log.cursor,
            vouches=tuple(
                store.vouches(
                    self.relayed_probers if request.is_relayed else ()
                )
            ),
            changes=store.log.after(request.after if has_cursor else 0),
            uses=tuple(self.uses.current_uses()) if request.wants_uses else (),
        )

    def _update_rights(self) -> None:
        own_groups = self.directory.of_domain(self.own_domain)
        whole_by_name = {
            right_name(group.group_id): group
            for group in own_groups
            if self.book.is_serving(group)
        }
        for name, group in whole_by_name.items():
            seen_at = self.book.whole_until(group) - EVIDENCE_LIFETIME_S
            self.rights.note_observation(
                name, RoutingRight(group.generation), seen_at
            )
        for name in tuple(self.rights.own.observation_by_name):
            if name not in whole_by_name:
                self.rights.withdraw(name)


@dataclass(slots=True)
class _Cursor:
    answerer: int = 0
    after: int = 0
    answered_at: float = NEVER
    failed_at: float = NEVER


@dataclass(slots=True)
class EvidenceSharing:
    """Pulls digests, so that evidence stays fresh with few messages.

    Explanation
    ===========
    Up to nine entries of a failure domain ask each other. More entries are
    divided into rows: each entry asks those of its own row for their own
    evidence, and one entry of each other row for that row's evidence. So
    evidence takes two exchanges at most. One entry of each of some other
    failure domains is asked for routing rights to groups, not for VMs.
    """

    clock: Clock
    membership: Membership
    client: DigestClient
    book: EvidenceBook
    uses: UseBook
    digest_server: DigestServer
    leaving: Callable[[], Sequence[GroupUse]]
    wants_uses: bool = False
    _cursors_by_address: dict[str, _Cursor] = field(default_factory=dict)

    async def step(self) -> None:
        """Pull digests from all chosen peers concurrently."""
        if self.book.drop_old():
            self._cursors_by_address.clear()
        await asyncio.gather(
            *(
                self._pull_from_any(pull, request)
                for pull, request in self._pulls()
            ),
        )

    def last_pull_failed(self, address: str) -> bool:
        """Return whether the last request to an address failed."""
        cursor = self._cursors_by_address.get(address)
        return cursor is not None and cursor.failed_at > cursor.answered_at

    def neighbours(self) -> tuple[Collection[str], Collection[str]]:
        """Return the ids of the domain's other entries and the fresh ones.

        Explanation
        ===========
        An entry is fresh if the last request to it did not fail and its vouch
        is at most ``PEER_SILENT_AFTER_S`` old.
        """
        domain = self.membership.own.failure_domain
        entries = self._entries_by_domain().get(domain, ())
        living = [node.node_id for node in entries]
        fresh = [
            node.node_id
            for node in entries
            if not self.last_pull_failed(node.address)
            and self.book.vouch_age_s(node_key(node)) <= PEER_SILENT_AFTER_S
        ]
        return living, fresh

    def recent_answers(self) -> int:
        """Return how many peers answered within the evidence's lifetime."""
        earliest = self.clock.monotonic() - EVIDENCE_LIFETIME_S
        return sum(
            cursor.answered_at >= earliest
            for cursor in self._cursors_by_address.values()
        )

    def dump(self) -> Mapping[str, object]:
        """Return seconds since each peer's last answer and last failure."""
        now = self.clock.monotonic()
        return {
            address: {
                'answered_s_ago': _rounded_age(now - cursor.answered_at),
                'failed_s_ago': _rounded_age(now - cursor.failed_at),
            }
            for address, cursor in self._cursors_by_address.items()
        }

    def _entries_by_domain(self) -> Mapping[str, Sequence[Node]]:
        by_domain: dict[str, list[Node]] = defaultdict(list)
        live_peers = (peer.node for peer in self.membership.live_peers())
        for node in sorted(live_peers, key=lambda node: node.node_id):
            if node.role == 'entry':
                by_domain[node.failure_domain].append(node)
        return by_domain

    def _pulls(self) -> Iterator[tuple[Pull, DigestRequest]]:
        own = self.membership.own
        by_domain = self._entries_by_domain()
        request = DigestRequest(
            node_key(own),
            leaving=self.leaving(),
            wants_uses=self.wants_uses,
        )
        pulls = tuple(domain_pulls(own, by_domain.get(own.failure_domain, ())))
        self.digest_server.relayed_probers = [
            node_key(pull.candidates[0])
            for pull in pulls
            if not pull.is_relayed
        ]
        for pull in pulls:
            yield pull, replace(request, is_relayed=pull.is_relayed)
        for remote in remote_pulls(own, by_domain):
            yield remote, replace(request, wants_rights=True)

    async def _pull_from_any(self, pull: Pull, request: DigestRequest) -> None:
        earliest = self.clock.monotonic() - FAILED_PEER_AVOIDED_S
        preferred = sorted(
            (node.address for node in pull.candidates),
            key=lambda address: self._cursor(address).failed_at > earliest,
        )
        for address in preferred[:MAX_PEERS_TRIED]:
            if await self._pull(address, request):
                return

    async def _pull(self, address: str, request: DigestRequest) -> bool:
        cursor = self._cursor(address)
        asked_at = self.clock.monotonic()
        resumed = replace(
            request,
            answerer=cursor.answerer,
            after=cursor.after,
        )
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                reply = await self.client.pull(address, resumed)
        except (RudderError, TimeoutError):
            cursor.failed_at = self.clock.monotonic()
            return False
        self._apply(cursor, reply, asked_at)
        return True

    def _apply(
        self,
        cursor: _Cursor,
        reply: DigestReply,
        asked_at: float,
    ) -> None:
        self.book.merge(reply, asked_at)
        for use in reply.uses:
            self.uses.note(use, self.clock.monotonic())
        cursor.answerer = reply.sender
        cursor.after = reply.cursor
        cursor.answered_at = asked_at

    def _cursor(self, address: str) -> _Cursor:
        return self._cursors_by_address.setdefault(address, _Cursor())


def node_key(node: Node) -> int:
    """Return the key under which a node sends its vouches."""
    return prober_key(node.node_id, node.incarnation)


def domain_pulls(own: Node, entries: Iterable[Node]) -> Iterator[Pull]:
    """Yield the pulls within the own failure domain."""
    by_id = {node.node_id: node for node in entries if node != own}
    is_entry = own.role == 'entry'
    entry_ids = (*by_id, own.node_id) if is_entry else by_id
    own_row = row_index(own.node_id, len(entry_ids)) if is_entry else None
    ids_by_row: dict[int, list[str]] = defaultdict(list)
    for node_id in by_id:
        ids_by_row[row_index(node_id, len(entry_ids))].append(node_id)
    for row, ids in ids_by_row.items():
        if row == own_row:
            yield from (Pull((by_id[each],)) for each in ids)
        else:
            order = rendezvous(own.node_id, ids)
            yield Pull([by_id[each] for each in order], is_relayed=True)


def remote_pulls(
    own: Node,
    by_domain: Mapping[str, Sequence[Node]],
) -> Iterator[Pull]:
    """Yield a pull from each of up to ``REMOTE_DOMAINS`` other domains."""
    others = by_domain.keys() - {own.failure_domain}
    chosen = rendezvous(own.failure_domain, others)
    for domain in islice(chosen, REMOTE_DOMAINS):
        by_id = {node.node_id: node for node in by_domain[domain]}
        order = rendezvous(own.node_id, by_id)
        yield Pull([by_id[node_id] for node_id in order])


def leaving_uses(
    groups: Iterable[GroupRecord],
    book: EvidenceBook,
    in_flight_by_group: Mapping[str, int],
) -> Sequence[GroupUse]:
    """Return this entry's in-flight requests at groups that are leaving."""
    return [
        GroupUse(
            group.group_id,
            group.generation,
            in_flight_by_group.get(group.group_id, 0),
        )
        for group in groups
        if book.is_draining(group)
    ]


def _rounded_age(age_s: float) -> float | None:
    return None if age_s == float('inf') else round(age_s, 3)
