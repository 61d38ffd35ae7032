"""Shares evidence with the entries of this and of other failure domains."""

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
    row_of,
)
from .evidence import EvidenceBook, right_name
from .evidencestore import EVIDENCE_LIFETIME_S
from .groups import GroupDirectory, GroupRecord
from .membership import Membership, Node
from .uses import UseBook

SHARE_INTERVAL_S = 0.6
PULL_TIMEOUT_S = 0.4
REMOTE_DOMAINS = 3
CANDIDATES = 2
AVOIDED_S = 5
# Vouches through a relay are younger than this while their prober lives.
LONE_AFTER_S = 2.6


@dataclass(frozen=True, slots=True)
class Pull:
    """Whom to ask, the best first, and whether for relayed evidence."""

    candidates: Sequence[Node]
    is_relayed: bool = False


class DigestClient(Protocol):
    """Asks a peer for its digest."""

    async def pull(self, address: str, question: DigestRequest) -> DigestReply:
        """Return a peer's answer, or raise ``RudderError``."""


@dataclass(slots=True)
class DigestServer:
    """Answers peers' questions for evidence."""

    book: EvidenceBook
    rights: EvidenceBook
    directory: GroupDirectory
    uses: UseBook
    own_domain: str
    # Keys of the entries whose vouches are passed on.
    row: Collection[int] = ()

    def answer(self, question: DigestRequest) -> DigestReply:
        """Return what the sender may know and does not know yet."""
        now = self.book.clock.monotonic()
        self.uses.note(EntryUse(question.sender, 0, question.leaving), now)
        if question.wants_rights:
            self._update_rights()
        told = self.rights if question.wants_rights else self.book
        is_known = question.answerer == self.book.key
        return DigestReply(
            sender=self.book.key,
            cursor=told.log.cursor,
            vouches=tuple(
                told.vouches(self.row if question.is_relayed else ())
            ),
            changes=told.log.after(question.after if is_known else 0),
            uses=tuple(self.uses.told()) if question.wants_uses else (),
        )

    def _update_rights(self) -> None:
        own = self.directory.of_domain(self.own_domain)
        whole_by_name = {
            right_name(group.group_id): group
            for group in own
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
    """Pulls digests, so that evidence is fresh with few messages.

    Explanation
    ===========
    Up to nine entries of a failure domain ask each other. More of them stand
    in rows: each asks those of its own row for their own evidence, and one of
    each other row for that of its whole row. So evidence takes two
    exchanges at most. Of other failure domains one entry each is asked, for
    rights to groups in place of VMs.
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
        """Ask the peers whose turn it is."""
        if self.book.drop_old():
            self._cursors_by_address.clear()
        await asyncio.gather(
            *(self._follow(pull, question) for pull, question in self._pulls()),
        )

    def failed_last(self, address: str) -> bool:
        """Return whether the last question to an address was in vain."""
        cursor = self._cursors_by_address.get(address)
        return cursor is not None and cursor.failed_at > cursor.answered_at

    def neighbours(self) -> tuple[Collection[str], Collection[str]]:
        """Return the domain's other entries, and those that are heard."""
        domain = self.membership.own.failure_domain
        entries = self._entries_by_domain().get(domain, ())
        living = [node.node_id for node in entries]
        heard = [
            node.node_id
            for node in entries
            if not self.failed_last(node.address)
            and self.book.vouch_age_s(key_of(node)) <= LONE_AFTER_S
        ]
        return living, heard

    def answered_lately(self) -> int:
        """Return how many peers answered within the evidence's lifetime."""
        earliest = self.clock.monotonic() - EVIDENCE_LIFETIME_S
        return sum(
            cursor.answered_at >= earliest
            for cursor in self._cursors_by_address.values()
        )

    def dump(self) -> Mapping[str, object]:
        """Return the peers asked and their answers' ages."""
        now = self.clock.monotonic()
        return {
            address: {
                'answered_s_ago': _shown(now - cursor.answered_at),
                'failed_s_ago': _shown(now - cursor.failed_at),
            }
            for address, cursor in self._cursors_by_address.items()
        }

    def _entries_by_domain(self) -> Mapping[str, Sequence[Node]]:
        by_domain: dict[str, list[Node]] = defaultdict(list)
        living = (peer.node for peer in self.membership.live_peers())
        for node in sorted(living, key=lambda each: each.node_id):
            if node.role == 'entry':
                by_domain[node.failure_domain].append(node)
        return by_domain

    def _pulls(self) -> Iterator[tuple[Pull, DigestRequest]]:
        own = self.membership.own
        by_domain = self._entries_by_domain()
        question = DigestRequest(
            key_of(own),
            leaving=self.leaving(),
            wants_uses=self.wants_uses,
        )
        pulls = tuple(own_pulls(own, by_domain.get(own.failure_domain, ())))
        self.digest_server.row = [
            key_of(pull.candidates[0]) for pull in pulls if not pull.is_relayed
        ]
        for pull in pulls:
            yield pull, replace(question, is_relayed=pull.is_relayed)
        for remote in remote_pulls(own, by_domain):
            yield remote, replace(question, wants_rights=True)

    async def _follow(self, pull: Pull, question: DigestRequest) -> None:
        earliest = self.clock.monotonic() - AVOIDED_S
        ready = sorted(
            (node.address for node in pull.candidates),
            key=lambda address: self._cursor(address).failed_at > earliest,
        )
        for address in ready[:CANDIDATES]:
            if await self._pull(address, question):
                return

    async def _pull(self, address: str, question: DigestRequest) -> bool:
        cursor = self._cursor(address)
        asked_at = self.clock.monotonic()
        asked = replace(
            question,
            answerer=cursor.answerer,
            after=cursor.after,
        )
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                answer = await self.client.pull(address, asked)
        except (RudderError, TimeoutError):
            cursor.failed_at = self.clock.monotonic()
            return False
        self._take(cursor, answer, asked_at)
        return True

    def _take(
        self,
        cursor: _Cursor,
        answer: DigestReply,
        asked_at: float,
    ) -> None:
        self.book.merge(answer, asked_at)
        for use in answer.uses:
            self.uses.note(use, self.clock.monotonic())
        cursor.answerer = answer.sender
        cursor.after = answer.cursor
        cursor.answered_at = asked_at

    def _cursor(self, address: str) -> _Cursor:
        return self._cursors_by_address.setdefault(address, _Cursor())


def key_of(node: Node) -> int:
    """Return the key under which a node vouches."""
    return prober_key(node.node_id, node.incarnation)


def own_pulls(own: Node, entries: Iterable[Node]) -> Iterator[Pull]:
    """Yield the pulls within the own failure domain."""
    by_id = {node.node_id: node for node in entries if node != own}
    is_entry = own.role == 'entry'
    everyone = (*by_id, own.node_id) if is_entry else by_id
    own_row = row_of(own.node_id, len(everyone)) if is_entry else None
    ids_by_row: dict[int, list[str]] = defaultdict(list)
    for node_id in by_id:
        ids_by_row[row_of(node_id, len(everyone))].append(node_id)
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
    """Yield the pulls from other failure domains."""
    others = by_domain.keys() - {own.failure_domain}
    nearest = rendezvous(own.failure_domain, others)
    for domain in islice(nearest, REMOTE_DOMAINS):
        by_id = {node.node_id: node for node in by_domain[domain]}
        order = rendezvous(own.node_id, by_id)
        yield Pull([by_id[node_id] for node_id in order])


def leaving_uses(
    groups: Iterable[GroupRecord],
    book: EvidenceBook,
    in_flight_by_group: Mapping[str, int],
) -> Sequence[GroupUse]:
    """Return this entry's use of the groups that it knows to be leaving."""
    return [
        GroupUse(
            group.group_id,
            group.generation,
            in_flight_by_group.get(group.group_id, 0),
        )
        for group in groups
        if book.is_draining(group)
    ]


def _shown(age_s: float) -> float | None:
    return None if age_s == float('inf') else round(age_s, 3)
