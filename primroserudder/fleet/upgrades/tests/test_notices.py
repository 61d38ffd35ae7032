"""Builds side by side read each other's notices.

Explanation
===========
A build that doesn't read the notices of another takes its VMs for lost: limits
and retries are then kept by each part of the site alone.
"""

import pathlib

import msgspec
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ....testing.noticenetwork import NoticeNetwork, notice_network
from ...membership import notice as notices
from ...membership.notice import (
    Facts,
    LimitNews,
    LoadPart,
    Notice,
    Strikes,
    UnreadableNotice,
    decode_notice,
    encode_notice,
)
from ..formats import NOTICE_FORMAT
from . import rules08c7865 as old

FIXTURES = pathlib.Path(__file__).parent / 'fixtures'
# Places of nested structs in a notice, and of the limits in a load.
FACTS, STRIKES, LOAD, LIMITS = 5, 6, 7, 6
OLD_FIELDS = 14


def _packets() -> list[bytes]:
    packets = (FIXTURES / '08c7865' / 'notices.json').read_bytes()
    return [bytes.fromhex(each) for each in orjson.loads(packets)]


def _array(notice: Notice) -> list[object]:
    whole: list[object] = msgspec.msgpack.decode(encode_notice(notice))
    return whole


def _encode(whole: list[object]) -> bytes:
    return msgspec.msgpack.encode(whole)


_counts = st.dictionaries(
    st.integers(0, 2**32 - 1), st.integers(0, 1_000_000), max_size=4
)
_keys = st.lists(st.integers(0, 2**32 - 1), max_size=3).map(tuple)
_address = st.sampled_from(['', '10.0.0.1:7340', '192.168.10.255:65535'])
_texts = st.text(max_size=12)
_facts = st.builds(
    Facts,
    lease_claim=_texts,
    claim_age_ms=st.integers(0, 1_000_000),
    lease_given_up=_texts,
    reaches_store=st.booleans(),
    has_traffic=st.booleans(),
    store_era=st.integers(0, 9),
    versions=st.dictionaries(_texts, st.integers(0, 2**40), max_size=3),
    silent_heads=_keys,
    broken_groups=_keys,
)
_loads = st.builds(
    LoadPart,
    number=st.integers(0, 7),
    total=st.integers(1, 8),
    running=_counts,
    waiting=_counts,
    sent=_counts,
    looks=_counts,
    limits=st.dictionaries(
        st.integers(0, 2**32 - 1),
        st.builds(
            LimitNews,
            rate_milli=st.none() | st.integers(0, 10**9),
            age_s=st.integers(0, 1_000_000),
        ),
        max_size=3,
    ),
    vms=st.integers(0, 200),
)
_notices = st.builds(
    Notice,
    direction=st.sampled_from(notices.Direction),
    incarnation=st.integers(0, 2**62),
    sequence=st.integers(0, 2**40),
    failure_domain=_texts,
    speed=st.floats(0, 100),
    facts=_facts,
    strikes=st.builds(
        Strikes,
        struck=st.lists(_texts, max_size=3).map(tuple),
        void=st.lists(_texts, max_size=3).map(tuple),
    ),
    load=st.none() | _loads,
    rank=st.integers(0, 200),
    ancestors=st.lists(_address, max_size=3).map(tuple),
    backup=_address,
    redirect=_address,
    is_leaving=st.booleans(),
    origin=_address,
    version=st.just(NOTICE_FORMAT),
)
# What a later build may append.
_unknown = st.lists(
    st.recursive(
        st.none() | st.booleans() | st.integers(-9, 9) | _texts,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(_texts, inner, max_size=3)
        ),
        max_leaves=4,
    ),
    min_size=1,
    max_size=3,
)


def test_fixtures_have_notices_of_all_directions() -> None:
    directions = {old.read_notice(packet).direction for packet in _packets()}
    assert directions == {each.value for each in notices.Direction}


@pytest.mark.parametrize('packet', _packets())
def test_notice_of_08c7865_is_read_as_it_reads_it(packet: bytes) -> None:
    expected = old.read_notice(packet)
    read = decode_notice(packet)
    assert read.version == 0
    # What this build passes on of it means the same to 08c7865.
    assert old.read_notice(encode_notice(read)) == expected


@given(_notices)
def test_notice_of_this_build_is_read_by_the_rules_of_08c7865(
    notice: Notice,
) -> None:
    read = old.read_notice(encode_notice(notice))
    assert read.facts.versions == notice.facts.versions
    assert read.strikes.struck == notice.strikes.struck
    assert (read.rank, read.origin) == (notice.rank, notice.origin)
    if notice.load is not None:
        assert read.load is not None
        assert read.load.running == notice.load.running
        assert read.load.vms == notice.load.vms
    # Each field of 08c7865 has the place and the value that it had.
    fields = read.__struct_fields__
    assert fields == notice.__struct_fields__[: len(fields)]
    again = decode_notice(msgspec.msgpack.encode(read))
    assert msgspec.structs.replace(again, version=notice.version) == notice


@given(_notices, _unknown)
def test_unknown_fields_of_each_struct_are_skipped(
    notice: Notice, unknown: list[object]
) -> None:
    whole = _array(notice)
    for place in (FACTS, STRIKES, LOAD):
        nested = whole[place]
        if isinstance(nested, list):
            nested.extend(unknown)
    load = whole[LOAD]
    if isinstance(load, list):
        for limit in load[LIMITS].values():
            limit.extend(unknown)
    whole.extend(unknown)
    assert decode_notice(_encode(whole)) == notice
    assert old.read_notice(_encode(whole)) == old.read_notice(
        encode_notice(notice)
    )


@given(_notices, st.integers(4, OLD_FIELDS))
def test_fields_that_a_sender_lacks_have_their_defaults(
    notice: Notice, fields: int
) -> None:
    whole = _array(notice)
    read = decode_notice(_encode(whole[:fields]))
    names = notice.__struct_fields__
    defaults = Notice(notices.Direction.TO_CHILD, 0, 0, '')
    for name in names[:fields]:
        assert getattr(read, name) == getattr(notice, name)
    for name in names[fields:]:
        assert getattr(read, name) == getattr(defaults, name)


def test_fields_of_08c7865_keep_their_places() -> None:
    # A field that moves is read as another one, without an error.
    for name in ('Facts', 'Strikes', 'LimitNews', 'LoadPart', 'Notice'):
        before = getattr(old, name).__struct_fields__
        now = getattr(notices, name).__struct_fields__
        assert now[: len(before)] == before


def test_notice_of_a_version_that_is_too_old_is_unreadable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    packet = _packets()[0]
    monkeypatch.setattr(notices, 'OLDEST_NOTICE_FORMAT', 1)
    with pytest.raises(UnreadableNotice, match='too old'):
        decode_notice(packet)
    current = msgspec.structs.replace(_newest(packet), version=1)
    assert decode_notice(encode_notice(current)).version == 1


@pytest.mark.parametrize('vms', [1, 7, 40])
def test_loads_are_summed_while_half_of_the_vms_run_08c7865(
    vms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Limits of engines are kept in sum only if all VMs' counts are heard.
    deliver = NoticeNetwork.deliver

    def deliver_as_read(
        network: NoticeNetwork, sender: str, target: str, packet: bytes
    ) -> None:
        earlier = set(list(network.exchanges)[::2])
        if earlier.intersection((sender, target)):
            packet = msgspec.msgpack.encode(old.read_notice(packet))
        deliver(network, sender, target, packet)

    monkeypatch.setattr(NoticeNetwork, 'deliver', deliver_as_read)
    network = notice_network(3, vms)
    for counts in network.counts.values():
        counts.begin('engine')
    network.tick(15)
    assert {counts.running('engine') for counts in network.counts.values()} == {
        3 * vms
    }
    for exchange in network.exchanges.values():
        assert not exchange.unreadable_datagrams


def _newest(packet: bytes) -> Notice:
    return msgspec.msgpack.decode(packet, type=Notice)
