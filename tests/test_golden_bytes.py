"""Golden tests of the bytes and names that leave the process, recorded at commit 1ba7699.

Gateways of two versions run side by side during an upgrade, a store outlives the process that wrote it, and
configuration files, operators' scripts and the simulator are not renamed together with the program. Renaming
identifiers must therefore not change a single byte of what is sent, stored, read or displayed. These tests
compare with literal bytes and texts that were recorded from that commit.

Identifiers of the program are used only in one section, between the two lines marked PROGRAM; the rest of
this file contains only bytes, texts and plain values. Structures are compared by position (`plain`), so that
their fields may be renamed.

The files of a store contain no random parts and no timestamps, so nothing in them is masked.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import types
from enum import Enum
from pathlib import Path

import msgspec
import pytest

# ==== PROGRAM: the only section that uses identifiers of the program =======================================
from shaletiller import adapter, config, gateway
from shaletiller.config.errors import OperatorFileError
from shaletiller.config.operator_reader import read_operator_file as read_operator
from shaletiller.core import manual_ejection, metrics
from shaletiller.core.model import ClientCall, FinalResult
from shaletiller.fleet import codec
from shaletiller.fleet.core import group_hash as fleet_hash
from shaletiller.fleet.health_gossip import DepartureState, HealthGossip, HealthKind
from shaletiller.fleet.hlc import timestamp_of as timestamp_at
from shaletiller.fleet.rendezvous import ranked
from shaletiller.messages import actions, events, timers
from shaletiller.messages.endpoints import EndpointState, UpdateKind
from shaletiller.net import discovery, links, peers
from shaletiller.net.replication import commands, endpoint_lists, lease_tables
from shaletiller.net.replication.writes import register_key
from shaletiller.replication import acceptor, groups, messages, records
from shaletiller.replication.records import Row, describe, pack
from shaletiller.replication.records import decode_row as read_register_row
from shaletiller.replication.records import decode_value as read_register_value
from shaletiller.settings import decoder
from shaletiller.settings.errors import SettingsError
from shaletiller.store import segment_store, writer

FLEET_KINDS = {
    "ping": codec.Ping,
    "ack": codec.Ack,
    "ping-req": codec.PingReq,
    "rumor": codec.Rumor,
    "want": codec.LeaseRequest,
    "call": codec.PledgeRequest,
    "pledge": codec.Pledge,
    "grant": codec.LeaseGrant,
    "verdict": codec.HealthRecord,
}
MESSAGE_KINDS = {
    "prepare": messages.Prepare,
    "accept": messages.Accept,
    "reply": messages.Reply,
    "join": messages.StateTransferRequest,
    "page": messages.StateTransferPage,
    "compare": messages.BucketDigests,
    "keys": messages.BucketVersions,
    "pull": messages.RowRequest,
    "rows": messages.RowTransfer,
}
REGISTER_VALUE_KINDS = {
    "intent": records.WriteIntent,
    "outcome": records.WriteOutcome,
    "word": records.OperatorCommand,
    "listed": records.CachedEndpointList,
    "leased": records.LeaseTableRecord,
}
# The field names of the wire formats in order. Two fields that swapped their names would leave all bytes
# unchanged, so the bytes alone do not show such a fault.
FIELD_NAMES = {
    codec.Ping: "nonce digest",
    codec.Ack: "nonce target digest",
    codec.PingReq: "nonce target",
    codec.Rumor: "member state incarnation refutations",
    codec.LeaseRequest: "limit nonce rate burst limit_rate limit_burst settle_ms",
    codec.PledgeRequest: "limit nonce limit_rate limit_burst settle_ms previous_granter "
    "previous_granter_incarnation",
    codec.Pledge: "limit nonce rate burst duration_ms",
    codec.LeaseGrant: "limit nonce rate burst duration_ms",
    codec.HealthRecord: "node kind observer incarnation timestamp expires_ms value",
    codec.Envelope: "version group sender incarnation seq timestamp messages",
    messages.Prepare: "nonce key ballot expires_ms incarnations",
    messages.Accept: "nonce key ballot step value expires_ms incarnations",
    messages.Reply: "nonce status incarnation row incarnations",
    messages.StateTransferRequest: "nonce incarnation after",
    messages.StateTransferPage: "nonce incarnation accepted known_incarnations rows after",
    messages.BucketDigests: "digests",
    messages.BucketVersions: "bucket versions",
    messages.RowRequest: "keys",
    messages.RowTransfer: "rows",
    Row: "promised ballot step value expires_ms",
    records.WriteIntent: "owner incarnation number request_hash recorded_ms deadline_ms",
    records.WriteOutcome: "served body request_hash recorded_ms",
    records.OperatorCommand: "in_effect stamp issuer expires_ms",
    records.CachedEndpointList: "recorded_ms json",
    records.LeaseTableRecord: "granter incarnation number recorded_ms rate burst",
}
EVENT_KINDS = {
    "PeersKnown": events.EndpointListUpdate,
    "Submit": events.Request,
    "Alarm": events.TimerExpired,
    "Done": events.AttemptEnded,
    "Headers": events.ResponseStarted,
    "NeighbourSays": events.PeerMessageReceived,
    "Abandoned": events.ClientDisconnected,
    "ProbeResult": events.HealthCheckEnded,
}
ACTIONS = (
    actions.SendAttempt("t/1", "n1", 12.5),
    actions.Reject("t/2", 40.0),
    actions.Fail("t/3"),
    actions.CancelAttempt("t/4", 2),
    actions.StartTimer(3.5, timers.OrderingTimer("tok")),
    actions.StartTimer(20.0, timers.RoundTimer()),
    actions.StartTimer(30.0, timers.AttemptOverdueTimer("t/1", 2)),
    actions.StartTimer(40.0, timers.WatchRetryTimer()),
    actions.SendHealthCheck("n2"),
    actions.SendPeerMessage(None, "é"),
    actions.SendPeerMessage(4, "x"),
    actions.WatchEndpoints(True),
    actions.FetchEndpointList(),
    actions.CloseIdleConnections("n3"),
    actions.WriteLog("line"),
)
SERVED, REJECTED, FAILED = FinalResult.SERVED, FinalResult.REJECTED, FinalResult.FAILED
NUMBERS = [
    [member.value for member in group]
    for group in (
        (
            HealthKind.EJECTED,
            HealthKind.UNREACHABLE,
            HealthKind.WARMING_UP,
            HealthKind.REJECTING,
            HealthKind.SLOW,
            HealthKind.DEPARTING,
        ),
        (DepartureState.DRAINING, DepartureState.LEFT, DepartureState.ACTIVE),
        (EndpointState.GONE, EndpointState.READY, EndpointState.DRAINING),
        (UpdateKind.CHANGES, UpdateKind.FULL, UpdateKind.CACHED, UpdateKind.FAILED),
    )
]
STORE_KEYS = (
    acceptor.INCARNATION_KEY,
    acceptor.INCARNATIONS_KEY,
    acceptor.SYNCED_KEY,
    endpoint_lists.LIST_KEY,
)
PREFIXES = (
    commands.EJECTION_PREFIX,
    commands.DRAIN_PREFIX,
    endpoint_lists.LIST_PREFIX,
    lease_tables.LEASE_PREFIX,
)
FaultyConfig, FaultyFile, FaultySettings = config.ConfigError, OperatorFileError, SettingsError
encode_part, digest_bucket = codec.encode, acceptor.digest_bucket
read_settings, read_config, read_batch = decoder.read_settings, config.read_config, adapter.read_batch


def row_digest(key, row):
    return acceptor.row_digest(key, row)


def write_envelopes(group, me, incarnation, *envelopes):
    """Return the overhead of an envelope in bytes, and a series of encoded envelopes."""
    writer = codec.EnvelopeWriter(group, me, incarnation)
    return writer.overhead, [writer.write(stamp, parts) for stamp, parts in envelopes]


def reads(reader, data, *now):
    """Return what was read, and the number of frames dropped so far by reason."""
    return reader.read(data, *now), dict(reader.dropped)


FleetReader, ReplicationReader = codec.EnvelopeReader, messages.Codec


def write_replication_frame(group, me, members, message):
    return messages.Codec(group, me, members).write(message)


def build_message(name, values):
    """Build a replication message, including the rows in it."""
    row_builders = {
        "reply": lambda fields: (*fields[:3], Row(*fields[3]), fields[4]),
        "rows": lambda fields: (tuple((key, Row(*row)) for key, row in fields[0]),),
        "page": lambda fields: (*fields[:4], tuple((key, Row(*row)) for key, row in fields[4]), fields[5]),
    }
    return MESSAGE_KINDS[name](*row_builders.get(name, lambda fields: fields)(values))


def load_acceptor(stored):
    """Return the state that an acceptor loads from a store: incarnation, incarnations, synced, rows."""
    loaded = acceptor.Acceptor(0, groups.ReplicaGroups(["", "", ""]))
    loaded.load(stored)
    return (
        loaded.incarnation,
        loaded.incarnations,
        loaded.synced,
        {key: plain(row) for key, row in loaded.rows.items()},
    )


def start_incarnation_updates(incarnation):
    return acceptor.Acceptor(0, groups.ReplicaGroups(["", "", ""])).start_incarnation(incarnation)


def gossip_digest(record):
    gossip = HealthGossip(lambda changed: None)
    gossip.merge(record, 0.0)
    return gossip.digest


def group_members(key, zones, copies):
    return groups.ReplicaGroups(zones, copies).members_of(key)


def write_key(class_name, volume, request_id, idempotency_key):
    other_fields = (1.0, 0, 1, 1.0, True, "PUT", "/", b"", False, idempotency_key)
    return register_key(ClientCall(request_id, class_name, "plan", volume, "k", *other_fields))


def write_store(folder, commits, segment_bytes, compacted=False):
    store = segment_store.SegmentStore(folder, None, segment_bytes)
    if compacted:
        store.compact()
    for commit in commits:
        store.commit(commit)
    store.close()


async def write_with_store_writer(folder, commits, segment_bytes):
    store_writer = writer.StoreWriter(segment_store.SegmentStore(folder, None, segment_bytes))
    store_writer.start()
    for commit in commits:
        committed = asyncio.get_running_loop().create_future()
        store_writer.submit(commit, committed.set_result)
        assert await committed
    await store_writer.stop()


def read_store(folder):
    """Return kind, key, value, sequence number and deletion flag of each record, and bytes of a torn tail."""
    store = segment_store.SegmentStore(folder)
    found = [(record.kind, record.key, record.value, record.sequence, record.deleted) for record in store]
    store.close()
    return found, store.torn_bytes


def stats_lines(results, classes, gauges):
    counters = metrics.Counters()
    for class_name, result in results:
        counters.count_result(class_name, result)
    return metrics.stats_lines(counters, classes, gauges)


def read_ejections(path):
    changes = []
    ejections = manual_ejection.ManualEjections(path, changes.append)
    ejections.reload()
    return ejections.nodes, changes


def write_simulator_reply(actions, line):
    link = adapter.Instances()
    link._schedulers["host-0"] = types.SimpleNamespace(handle=lambda now_ms, event: actions)
    return link.reply(line)


def list_row(row):
    endpoint = discovery.parse_row(msgspec.convert(row, config.ServerRow), lambda node: None)
    return plain(endpoint.entry), endpoint.address


def gateway_of(configuration):
    """Return a gateway that is not started, its loader of the known list, and its operator call handler."""
    instance = gateway.Gateway(configuration)
    return instance, instance.discovery.load_known_list, instance.admin.execute


async def receive_frames(instance, *frames):
    """Open the store and pass frames to the fleet agent.

    Returns the fleet hashes of gossip and of replication, the frames that were passed to replication, and the
    number of the other frames that were dropped by reason.
    """
    instance.replication.open()
    await asyncio.sleep(0)
    received, pass_on = [], instance.fleet._on_replication_message
    instance.fleet._on_replication_message = lambda data: (received.append(data), pass_on(data))
    for frame in frames:
        instance.fleet.receive(frame)
    fleet = instance.fleet.coordinator.fleet
    return (
        (fleet._writer._header[0], instance.replication.port.codec._fleet),
        received,
        dict(fleet.reader.dropped),
    )


async def close_gateway(instance):
    await instance.replication.close()
    instance.fleet.close()


def peer_endpoint_functions(addresses, everyone, text, fleet, sent):
    """Return the functions of a peer endpoint that send a text, send bytes, and receive a datagram."""
    endpoint = peers.PeerEndpoint(
        addresses, everyone, lambda number, data: text.append((number, data)), fleet.append
    )
    endpoint._transport = types.SimpleNamespace(sendto=lambda raw, address: sent.append((raw, address)))
    return endpoint.send_text, endpoint.send, endpoint.datagram_received


def link_sender(address, *data):
    link = links.Link(address, random.Random(1))
    for message in data:
        link.send(message)
    return link.run()


def link_receiver(on_message):
    """Return the receiving side of a link, as a callback of asyncio.start_server."""
    return links.Links(0, [("127.0.0.1", 1)], on_message, 0)._receive


# ==== end of PROGRAM =======================================================================================


def plain(data):
    """Convert a value to plain data: structures to tuples, enumerations to their values."""
    if isinstance(data, Enum):
        return data.value
    if isinstance(data, msgspec.Struct):
        return tuple(plain(item) for item in msgspec.structs.astuple(data))
    if dataclasses.is_dataclass(data):
        return tuple(plain(getattr(data, field.name)) for field in dataclasses.fields(data))
    if isinstance(data, list | tuple):
        return tuple(plain(item) for item in data)
    return data


def from_hex(text):
    return bytes.fromhex(text)


def split_items(text):
    return text.split()


GOLDEN = Path(__file__).parent / "golden"
NVME, OPERATOR = (GOLDEN / "nvme.toml").read_text(), (GOLDEN / "operator.kdl").read_text()
CONFIG = json.loads((GOLDEN / "config.json").read_text())
INFO = CONFIG["settings"]
NOW = 1_700_000_000_000
STAMP = NOW << 16  # A timestamp of the hybrid logical clock.
GROUP = 0xDEADBEEF

# ---- 1. fleet messages

# fmt: off
FLEET_PARTS = [
    ("ping", (11, 12), "93010b0c"),
    ("ack", (13, 2, 14), "94020d020e"),
    ("ping-req", (15, 1), "93030f01"),
    ("rumor", (1, 3, NOW + 1, 4), "95040103cf0000018bcfe5680104"),
    ("want", ("v:vol", 21, 22000, 23000, 24000, 25000, 26), "9805a5763a766f6c15cd55f0cd59d8cd5dc0cd61a81a"),
    ("call", ("v:vol", 31, 32000, 33000, 34, 2, NOW + 2),
     "9806a5763a766f6c1fcd7d00cd80e82202cf0000018bcfe56802"),
    ("pledge", ("c:n1", 41, 42000, 43000, 44), "9607a4633a6e3129cda410cda7f82c"),
    ("grant", ("v:vol", 51, 52000, 53000, 54), "9608a5763a766f6c33cdcb20cdcf0836"),
    ("verdict", ("n1", 5, 2, NOW + 3, STAMP + 1, NOW + 60000, 61),
     "9809a26e310502cf0000018bcfe56803cf018bcfe568000001cf0000018bcfe652603d"),
]
# fmt: on


@pytest.mark.parametrize(("kind", "values", "golden"), FLEET_PARTS)
def test_each_part_of_a_fleet_message_keeps_its_bytes(kind, values, golden):
    assert encode_part(FLEET_KINDS[kind](*values)).hex() == golden
    envelope = from_hex(f"9701cedeadbeef02cf0000018bcfe56800010791{golden}")
    (head, [part]), dropped = reads(FleetReader(GROUP, 0, 3), envelope, NOW)
    assert (plain(head)[:6], dropped) == ((1, GROUP, 2, NOW, 1, 7), {})
    assert (type(part), plain(part)) == (FLEET_KINDS[kind], values)
    assert encode_part(part).hex() == golden


@pytest.mark.parametrize(("kind", "names"), FIELD_NAMES.items())
def test_each_position_on_the_wire_is_read_by_its_own_name(kind, names):
    assert " ".join(kind.__struct_fields__) == names


def test_the_envelope_of_the_fleet_keeps_its_bytes_and_its_sequence():
    envelopes = (STAMP + 7, []), (STAMP + 8, [from_hex("93010b0c"), from_hex("93030f01")])
    overhead, (empty, two) = write_envelopes(GROUP, 2, NOW, *envelopes)
    assert overhead == 38
    assert empty.hex() == "9701cedeadbeef02cf0000018bcfe5680001cf018bcfe56800000790"
    assert two.hex() == "9701cedeadbeef02cf0000018bcfe5680002cf018bcfe5680000089293010b0c93030f01"
    (head, parts), _ = reads(FleetReader(GROUP, 0, 3), two, NOW)
    assert plain(head)[:6] == (1, GROUP, 2, NOW, 2, STAMP + 8)
    assert [plain(part) for part in parts] == [(11, 12), (15, 1)]


FLEET_DROPS = {
    "version": (2, 1, 1, 5, 1, 5, []), "group": (1, 2, 1, 5, 1, 5, []), "sender": (1, 1, 0, 5, 1, 5, []),
    "ahead": (1, 1, 1, 10**9, 1, 5, []), "malformed": (1, 1, 1, 7, 1, 5, [[1, 2]]),
    "tag": (1, 1, 1, 7, 2, 5, [[99, 2]]), "replayed": (1, 1, 1, 7, 2, 5, []), "life": (1, 1, 1, 6, 9, 5, []),
}  # fmt: skip
REPLICATION_DROPS = {
    "malformed": (1, 1, 1, [99]), "version": (2, 1, 1, [8, []]), "group": (1, 2, 1, [8, []]),
    "sender": (1, 1, 0, [8, []]),
}  # fmt: skip


def test_both_readers_count_what_they_drop_under_these_names():
    fleet, replication = FleetReader(1, 0, 3), ReplicationReader(1, 0, 3)
    for count, head in enumerate(FLEET_DROPS.values(), 1):
        _, dropped = reads(fleet, msgspec.msgpack.encode(head), 1000.0)
        assert dropped == dict.fromkeys(list(FLEET_DROPS)[:count], 1)
    for count, head in enumerate(REPLICATION_DROPS.values(), 1):
        found, dropped = reads(replication, b"P" + msgspec.msgpack.encode(head))
        assert (found, dropped) == (None, dict.fromkeys(list(REPLICATION_DROPS)[:count], 1))


# ---- 2. replication messages and register values

ROW = ((1, 2, 3), (4, 1, 6), 7, b"\x01val", NOW + 99)
EMPTY_ROW = ((0, 0, 0), (0, 0, 0), 0, b"", 0)
ROW_HEX, EMPTY_HEX = "95930102039304010607c4040176616ccf0000018bcfe56863", "95930000009300000000c40000"
BYTE_LIST = "".join(f"{n:02x}" if n < 128 else f"cc{n:02x}" for n in range(256))  # the numbers as MessagePack
# fmt: off
MESSAGES = [
    ("prepare", (101, "w:c:v:k", (2, 1, 9), NOW + 100, (5, 6, 7)),
     "960165a7773a633a763a6b93020109cf0000018bcfe5686493050607"),
    ("accept", (102, "ban:n1", (3, 0, 8), 4, b"value", NOW + 200, (5, 6)),
     "980266a662616e3a6e319303000804c40576616c7565cf0000018bcfe568c8920506"),
    ("reply", (103, 2, NOW + 300, ROW, (5, 6, 7)), f"96036702cf0000018bcfe5692c{ROW_HEX}93050607"),
    ("join", (104, NOW + 400, "after"), "940468cf0000018bcfe56990a56166746572"),
    ("page", (105, NOW + 500, True, (8, 9, 10), (("k1", ROW), ("k2", EMPTY_ROW)), "k2"),
     f"970569cf0000018bcfe569f4c39308090a9292a26b31{ROW_HEX}92a26b32{EMPTY_HEX}a26b32"),
    ("compare", (tuple(range(256)),), f"9206dc0100{BYTE_LIST}"),
    ("keys", (17, (("k1", (4, 1, 6), 7),)), "9307119193a26b319304010607"),
    ("pull", (("k1", "k2"),), "920892a26b31a26b32"),
    ("rows", ((("k1", ROW),),), f"92099192a26b31{ROW_HEX}"),
]
# fmt: on


@pytest.mark.parametrize(("kind", "values", "golden"), MESSAGES)
def test_each_replication_message_keeps_its_bytes(kind, values, golden):
    golden = f"509401cedeadbeef02{golden}"  # "P", followed by an array: version, fleet, sender, message.
    (sender, message), dropped = reads(ReplicationReader(GROUP, 0, 3), from_hex(golden))
    assert (sender, type(message), plain(message)) == (2, MESSAGE_KINDS[kind], values)
    assert dropped == {}
    assert write_replication_frame(GROUP, 2, 3, build_message(kind, values)).hex() == golden
    assert write_replication_frame(GROUP, 2, 3, message).hex() == golden


SHOWN = {"kind": "register", "key": "key", "promised": (1, 2, 3), "ballot": (4, 1, 6), "step": 7, "until": 99}
# fmt: off
REGISTER_VALUES = [
    ("intent", (1, NOW, 3, -4, NOW + 5, NOW + 6),
     "970101cf0000018bcfe5680003fccf0000018bcfe56805cf0000018bcfe56806", {"owner": 1, "at": NOW + 5}),
    ("outcome", (True, b"body", 7, NOW + 8), "9502c3c404626f647907cf0000018bcfe56808",
     {"served": True, "bytes": 4, "at": NOW + 8}),
    ("word", (True, STAMP + 9, 2, NOW + 10), "9503c3cf018bcfe56800000902cf0000018bcfe5680a",
     {"out": True, "by": 2}),
    ("listed", (NOW + 11, b'{"version":1}'), "9304cf0000018bcfe5680bc40d7b2276657273696f6e223a317d",
     {"bytes": 13, "at": NOW + 11}),
    ("leased", (2, NOW + 12, 13, NOW + 14, 15000, 16000),
     "970502cf0000018bcfe5680c0dcf0000018bcfe5680ecd3a98cd3e80", {}),
]
# fmt: on


@pytest.mark.parametrize(("kind", "values", "golden", "shown"), REGISTER_VALUES)
def test_each_value_of_a_register_keeps_its_bytes_and_how_it_is_shown(kind, values, golden, shown):
    assert pack(REGISTER_VALUE_KINDS[kind](*values)).hex() == golden
    value = read_register_value(from_hex(golden))
    assert (type(value), plain(value), pack(value).hex()) == (REGISTER_VALUE_KINDS[kind], values, golden)
    row = pack(Row((1, 2, 3), (4, 1, 6), 7, from_hex(golden), 99))
    assert list(describe(1, b"key", row).items()) == list({**SHOWN, "says": kind, **shown}.items())


def test_a_register_keeps_its_bytes_and_other_records_how_they_are_shown():
    assert (pack(Row()).hex(), pack(Row(*ROW)).hex()) == (EMPTY_HEX, ROW_HEX)
    assert plain(read_register_row(from_hex(ROW_HEX))) == ROW
    assert (read_register_value(b""), read_register_value(from_hex("9263c0"))) == (None, None)
    assert describe(1, b"key", from_hex(EMPTY_HEX))["says"] == "free"
    assert describe(2, b"life", b"abc") == {"kind": "meta", "key": "life", "bytes": 3}
    assert describe(1, b"k", b"\xc1") == {"kind": "register", "key": "k", "unreadable": 1}
    assert describe(9, b"k", b"") == {"kind": 9, "key": "k", "bytes": 0}


def test_keys_hashes_and_numbers_that_gateways_must_agree_on():
    assert STORE_KEYS == (b"life", b"lives", b"synced", b"list")
    assert PREFIXES == ("ban:", "drain:", "list:", "lease:")
    incarnations = (2, b"lives", from_hex("93cf0000018bcfe568000000"))
    assert start_incarnation_updates(NOW) == [
        (2, b"life", from_hex("cf0000018bcfe56800")),
        incarnations,
        (2, b"synced", from_hex("90")),
    ]
    zones = ["a", "a", "b", "", "b"]
    for key, bucket, total, order, members in [
        ("w:c:v:k", 182, 549473823715102212, [4, 1, 0, 2, 3], (4, 1, 3)),
        ("ban:n1", 250, 53304442575095473, [2, 0, 4, 3, 1], (2, 0, 3)),
        ("lease:v:vol", 9, 14813146762717196219, [0, 1, 2, 4, 3], (0, 2, 3)),
    ]:
        assert (digest_bucket(key), row_digest(key, Row(*ROW))) == (bucket, total)
        assert (ranked(key, range(5)), group_members(key, zones, 3)) == (order, members)
    record = FLEET_KINDS["verdict"]("n1", 5, 2, NOW + 3, STAMP + 1, 60000, 61)
    assert gossip_digest(record) == 1461102212653850920
    assert fleet_hash("campus", ["g0", "g1", "g2"]) == 2948227333
    assert timestamp_at(NOW + 0.9) == STAMP
    assert write_key("c", "v", "id", "idem") == "w:c:v:idem"
    assert write_key("c", "v", "id", "") == "w:c:v:id"
    assert write_key("c", "v", "id", "x" * 400) == "w:7fab808d49435d3bb6f0890a2821805b"
    assert NUMBERS == [[1, 2, 3, 4, 5, 6], [1, 2, 3], [0, 1, 2], [0, 1, 2, 3]]


# ---- 3. store files

# fmt: off
META_RECORDS = [
    (2, b"life", from_hex("cf0000018bcfe56800")), (2, b"lives", from_hex("93cf0000018bcfe568000506")),
    (2, b"synced", from_hex("920102")), (2, b"list", b'{"version":1}')]
# fmt: on
COMMITS = [[*META_RECORDS, (1, b"gone", b"x")], [(1, b"ban:n1", from_hex(ROW_HEX)), (1, b"gone", None)]]
LOG, COMPACTED = {"lock": ""}, {"lock": ""}  # Contents of the files in hexadecimal, by name.
for _line in (GOLDEN / "stores.txt").read_text().splitlines():
    _which, _name, _content = _line.split()
    {"log": LOG, "compacted": COMPACTED}[_which][_name] = _content


def read_folder(path):
    return {file.name: file.read_bytes().hex() for file in sorted(path.iterdir())}


def write_files(path, names):
    path.mkdir()
    for name, content in names.items():
        (path / name).write_bytes(from_hex(content))
    return path


RECORDS = [(*row, index + 1, False) for index, row in enumerate(META_RECORDS)]
RECORDS += [(1, b"ban:n1", from_hex(ROW_HEX), 6, False)]


def test_a_store_writes_the_same_files(tmp_path):
    write_store(tmp_path / "s", COMMITS, 150)
    assert read_folder(tmp_path / "s") == LOG
    write_store(tmp_path / "s", [[(1, b"k", b"")]], 150, compacted=True)
    assert read_folder(tmp_path / "s") == COMPACTED


def test_a_store_writer_writes_the_same_files(tmp_path):
    asyncio.run(write_with_store_writer(tmp_path / "s", COMMITS, 150))
    assert read_folder(tmp_path / "s") == LOG


@pytest.mark.parametrize(("files", "more"), [(LOG, []), (COMPACTED, [(1, b"k", b"", 8, False)])])
def test_a_store_written_by_that_commit_opens_and_accepts_more(tmp_path, files, more):
    assert read_store(write_files(tmp_path / "s", files)) == (RECORDS + more, 0)
    assert read_folder(tmp_path / "s") == files  # Opening the store changes none of its files.
    write_store(tmp_path / "s", [[(1, b"next", b"v")]], 1 << 20)
    assert read_store(tmp_path / "s") == ([*RECORDS, *more, (1, b"next", b"v", 8 + len(more), False)], 0)


def test_a_gateway_reads_its_incarnation_and_registers_from_a_store_of_that_commit(tmp_path):
    found, _ = read_store(write_files(tmp_path / "s", LOG))
    assert load_acceptor([record[:3] for record in found]) == (NOW, [NOW, 5, 6], {1, 2}, {"ban:n1": ROW})


# ---- 4. the settings document

# fmt: off
SETTINGS = (
    (("c1", 5.5, 6.5, 7.5, 0.85, "keyed", "zone", 9.5, True, False, False),
     ("c2", 10.5, 11.5, 1.0, 0.0, "safe", "all", 0.0, False, True, False),
     ("c3", 12.5, 13.5, 1.0, 0.0, "unsafe", "cell", 0.0, False, False, True)),
    (("p1", 14.5, 15.5, 16.5, 17.5, 18.5, 19.5, 20.5),),
    1, 2, "z3", 4.5, 27, 21.5, 22.5, 23.5, 24.5, 25.5, True, True, 42.5, 28, True, False, True, False, True,
    29.5, True, 32.5, 33.5, 34.5, 35.5, 0.365, 37.5, 26.5, 38.5, 39.5, 40.5, 41.5, 43.5, 44.5, 45.5,
    ("a", "b"), 30.5, 31.5)
MINIMAL = {"classes": [{"name": "read", "target-ms": 1, "hard-limit-ms": 2, "effect": "read_like"}],
         "contracts": [{"name": "p"}]}
MINIMAL_SETTINGS = (
    (("read", 1.0, 2.0, 1.0, 0.0, "safe", "cell", 0.0, False, False, False),),
    (("p", 0.0, 0.0, 1.0, 1.0, 0.0, 0.0, 0.0),),
    0, 1, "", 0.0, 0, 1.0, 1.0, 1.0, 1.0, 0.0, False, False, 0.0, 1, False, False, False, False, False, 0.0,
    False, 0.0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0, None, 0.0, 0.0, 0.0, 0.0, 0.0, (), 30000.0, 250.0)
# fmt: on


def settings_with(path, value):
    """Return the full document with the value at a path replaced; an example path is "classes[0].name"."""
    document = json.loads(json.dumps(INFO))
    *keys, last = path.replace("[0]", ".0").split(".")
    parent = document
    for step in keys:
        parent = parent[int(step)] if step.isdigit() else parent[step]
    parent[int(last) if last.isdigit() else last] = value
    return document


def test_every_key_of_the_settings_document_gives_its_value():
    assert plain(read_settings(INFO)) == SETTINGS
    assert plain(read_settings(MINIMAL)) == MINIMAL_SETTINGS


# The position of the only value that each switch changes. The document has many similar switches.
SWITCHES = {
    "domain.counts-others": 12, "limits.second-copies": 16, "limits.cancel": 17, "limits.probes": 18,
    "limits.peers": 19, "limits.retry-after": 20, "clients.marks-retry": 22,
}  # fmt: skip


@pytest.mark.parametrize(("path", "at"), [*SWITCHES.items(), ("discovery", 13)])
def test_each_switch_of_the_settings_document_moves_its_own_value(path, at):
    part, _, key = path.rpartition(".")
    other = "automatic" if path == "discovery" else not INFO[part][key]
    moved = plain(read_settings(settings_with(path, other)))
    assert moved == (*SETTINGS[:at], not SETTINGS[at], *SETTINGS[at + 1 :])


SECTIONS = ("domain", "limits", "clients", "obligations", "deductions", "load-info")
# fmt: off
TYPED_KEYS = [*("position", "balancers", "zone", "tick-ms"),
         *(f"classes[0].{key}" for key in INFO["classes"][0] if key != "effect"),
         *(f"contracts[0].{key}" for key in INFO["contracts"][0]),
         *(f"{part}.{key}" for part in SECTIONS for key in INFO[part] if key != "writes")]
POSITIVE = ["balancers", "domain.mean-units", "domain.most-units", "limits.max-attempts",
            "limits.conn-idle-ms", "limits.connect-timeout-ms", "classes[0].target-ms",
            "classes[0].hard-limit-ms"]
NOT_NEGATIVE = ["obligations.fall-ms", "obligations.ramp-time-ms", "domain.cold-bears",
                "obligations.turn-gap-ms", "obligations.budget-share", "obligations.budget-span-ms",
                "classes[0].importance", "classes[0].key-ttl-ms",
                *(f"contracts[0].{key}" for key in INFO["contracts"][0] if key != "name")]
FAULTS = [
    *((path, {"w": 1}, f"{path}: Expected ") for path in TYPED_KEYS),
    *((path, 0, f"{path}: expected a number above 0, got 0") for path in POSITIVE),
    *((path, -1, f"{path}: expected a number of at least 0, got -1") for path in NOT_NEGATIVE),
    *((path, 3, f"{path}: expected an object") for path in (*SECTIONS[1:], "classes[0]", "contracts[0]")),
    ("obligations.start-capacity", 2,
        "obligations.start-capacity: expected a part above 0, at most 1, got 2.0"),
    ("classes[0].dedup-scope", "x", "classes[0].dedup-scope: Invalid enum value 'x'"),
    ("classes[0].effect", "x", "classes[0].effect: unknown value 'x'"),
    ("classes[0].effect", None, "classes[0].effect: is missing"),
    ("classes[0].name", "c2", "classes[1].name: 'c2' occurs twice"),
    ("contracts[0].name", "", "contracts[0].name: expected 1 to 64 printable ASCII characters, got ''"),
    ("classes", 3, "classes: expected a list"), ("contracts", 3, "contracts: expected a list"),
    ("classes", [], "classes: at least one class is needed"),
    # As at that commit, these texts lack the section or use the program's name instead of the document's key.
    ("domain.writes", 3, "writes: expected a list"), ("contracts", [], "plans: at least one plan is needed"),
]
# fmt: on


@pytest.mark.parametrize(("path", "value", "error_text"), FAULTS)
def test_a_faulty_setting_is_named_by_the_sites_own_key(path, value, error_text):
    with pytest.raises(FaultySettings) as error:
        read_settings(settings_with(path, value))
    assert str(error.value).startswith(error_text)


# ---- 5. configuration and operators' file

SERVERS = (8, True, (("n1", "10.0.1.1:7100", "z1", "k1", 9, "leaving", 1.5, 1700000000000.5),))
# fmt: off
NVME_VALUES = (
    ("127.0.0.1:4420", "nqn.x:gw", 33, 34,
     ((35, 36, "c2", "c1", "p1", "00000000000000a1", 37, 38, 3.5, 39, 8192, 40.5, 41.5),)),
    (("n9", "nqn.x:box", 42, 43, 16384),))
PEERS = (("10.0.0.3", 7003), (("10.0.0.4", 7004), ("10.0.0.5", 7005)), ("10.0.0.6", 7006))
OPERATOR_VALUES = (
    ("campus", "gb", "datagrams", (("ga", "10.0.0.4:7100", "a"), ("gb", "10.0.0.5:7101", "b")),
     (("gold", "available"),), 201.0, 82.0, 1503.0, 2004.0, 905.0, 0.06, 107.0, 108.0, 9, 10, 11.0, False),
    ("/var/lib/x", 12.0, "/etc/x"), (False, (("write", "local"),), 5, 13.0, 14.0, True))
NO_OPERATOR_VALUES = (
    ("", "", "tcp", (), (), 200.0, 80.0, 1500.0, None, 1000.0, 0.01, 100.0, 100.0, 3, 2, 0.0, True),
    ("", 8.0, ""), (False, (), 3, 86400.0, 4000000.0, False))
# fmt: on


def configured(folder, document=CONFIG, nvme=NVME, operator=None, **env):
    """Read the configuration from these files and environment variables."""
    (folder / "c.json").write_text(json.dumps(document))
    (folder / "nvme.toml").write_text(nvme)
    env["EDGE_CONFIG"] = str(folder / "c.json")
    if operator is not None:
        (folder / "o.kdl").write_text(operator)
        env["EDGE_OPERATOR"] = str(folder / "o.kdl")
    return read_config(env, folder / "nvme.toml")


# fmt: off
def test_every_key_of_the_configuration_gives_its_value(tmp_path):
    assert plain(configured(tmp_path)) == (
        "g7", ("127.0.0.1", 7001), ("10.0.0.2", 7002), 0x8C1F, (1.25, 200.5, 1025), *PEERS, SERVERS, SETTINGS,
        NVME_VALUES, ("", 5000.0, 0.05), ("127.0.0.1", 7007), None, "/tmp")
    least = {"settings": MINIMAL, "listen": "h:1", "discovery": "h:2"}
    no_nvme = ("", "nqn.2026-12.example.shaletiller:gateway", 32, 32, ()), ()
    assert plain(configured(tmp_path, least, "")) == (
        "", ("h", 1), ("h", 2), 0, (1.0, 192.0, 1024), None, (), None, (0, False, ()), MINIMAL_SETTINGS,
        no_nvme, ("", 5000.0, 0.05), None, None, "/tmp")


def test_every_variable_and_every_key_of_the_operators_file_gives_its_value(tmp_path):
    found = configured(
        tmp_path, operator=OPERATOR, EDGE_NAME="gb", EDGE_LISTEN="127.0.0.1:8001",
        EDGE_DISCOVERY="10.0.0.2:8002", EDGE_ADMIN="127.0.0.1:8003", TMPDIR="/tmp/t",
        OTEL_EXPORTER_OTLP_ENDPOINT="http://o", OTEL_METRIC_EXPORT_INTERVAL="17",
        OTEL_TRACES_SAMPLER_ARG="0.25")
    assert plain(found) == (
        "gb", ("127.0.0.1", 8001), ("10.0.0.2", 8002), 0x8C1F, (1.25, 200.5, 1025), *PEERS, SERVERS, SETTINGS,
        NVME_VALUES, ("http://o", 17.0, 0.25), ("127.0.0.1", 8003), OPERATOR_VALUES, "/tmp/t")
    (tmp_path / "e.kdl").write_text("")
    assert plain(read_operator(tmp_path / "e.kdl")) == NO_OPERATOR_VALUES
# fmt: on


# fmt: off
CONFIG_FAULTS = [
    *(({key: {}}, f"EDGE_CONFIG: {key}: Expected ")
      for key in ("name", "listen", "discovery", "seed", "peer_listen", "peers", "peers_all", "admin")),
    *(({part: {key: {}}}, f"EDGE_CONFIG: {part}.{key}: Expected ")
      for part in ("limits", "known") for key in CONFIG[part]),
    *(({"known": {"servers": [{"id": "x", key: {}}]}}, f"EDGE_CONFIG: known.servers[0].{key}: Expected ")
      for key in CONFIG["known"]["servers"][0]),
    *(({key: "x"}, f"{shown}: expected host:port, got 'x'") for key, shown in [
        ("listen", "EDGE_LISTEN"), ("discovery", "EDGE_DISCOVERY"), ("admin", "EDGE_ADMIN"),
        ("peer_listen", "peer_listen"), ("peers_all", "peers_all")]),
    ({"peers": ["a:1", "x"]}, "peers[1]: expected host:port, got 'x'"),
    ({"seed": "zz"}, "seed: expected hex digits, got 'zz'"),
    ({"name": "a/b"}, "EDGE_NAME: expected at most 200 printable bytes, no '/', got 'a/b'"),
    ({"settings": {}}, "settings.classes: at least one class is needed"),
    ({"settings": settings_with("limits.cancel", 2)}, "settings.limits.cancel: Expected "),
]
# fmt: on


@pytest.mark.parametrize(("change", "error_text"), CONFIG_FAULTS)
def test_a_faulty_key_of_the_configuration_is_named(tmp_path, change, error_text):
    with pytest.raises(FaultyConfig) as error:
        configured(tmp_path, {**CONFIG, **change})
    assert str(error.value).startswith(error_text)


def test_a_faulty_key_of_nvme_toml_is_named(tmp_path):
    part = ""
    for line in NVME.splitlines():
        if line.startswith("["):
            part = line.strip("[]") + ("[0]" if line.startswith("[[") else "")
            continue
        key = line.split(" = ")[0]
        unknown = f"{part}: Object contains unknown field `x{key}`"
        for swap, error_text in [(f"{key} = []", f"{part}.{key}: Expected "), (f"x{line}", unknown)]:
            with pytest.raises(FaultyConfig) as error:
                configured(tmp_path, nvme=NVME.replace(f"{line}\n", f"{swap}\n", 1))
            assert str(error.value).startswith(f"nvme.toml: {error_text}")


# fmt: off
FLEET_KEYS = ("ack-ms, carrier, cold-budgets, drift, fanout, gather-ms, gossip-ms, lease-ms, limit, me, "
              "member, messages-a-second, name, period-ms, quorum, suspect-ms, term-ms")
OPERATOR_FAULTS = [
    ("ack-ms 82", "x 1", f"line 10: fleet.x: unknown key; there are {FLEET_KEYS}"),
    ("segment-mb", "x", "line 24: store.x: unknown key; there are dir, drill, segment-mb"),
    ("keep-s", "x", "line 31: promises.x: unknown key; there are class, copies, keep-s, lease-tables, on, "
                    "repair-bytes-a-second"),
    ("ack-ms 82", "ack-ms 820", "line 10: fleet.ack-ms: wants a time above 0 and under period_ms"),
    ('zone="a"', "zone=1", "line 6: fleet.member[0].zone: Expected `str`, got `float`"),
    ('"available"', '"x"', "line 8: fleet.limit[0].policy: Invalid enum value 'x'"),
    ('"local"', '"x"', "line 29: promises.class[0].level: Invalid enum value 'x'"),
    ('"datagrams"', '"x"', "line 5: fleet.carrier: Invalid enum value 'x'"),
    ("on false", "on true", 'line 28: promises.on: needs the members of a fleet and its carrier "tcp"'),
    ('member "gb"', 'member "ga"', "line 6: fleet.member[0].name: 'ga' occurs twice"),
]
# fmt: on


@pytest.mark.parametrize(("old", "new", "error_text"), OPERATOR_FAULTS)
def test_a_faulty_key_of_the_operators_file_is_named(tmp_path, old, new, error_text):
    (tmp_path / "o.kdl").write_text(OPERATOR.replace(old, new))
    with pytest.raises(FaultyFile) as error:
        read_operator(tmp_path / "o.kdl")
    assert str(error.value) == f"o.kdl: {error_text}"


def test_the_states_of_nodes_in_discoverys_list():
    row = {"id": "n", "addr": "h:1", "zone": "z", "kind": "k", "cell": 3, "weight": 2.5, "started_ms": 4.5}
    for wire_name, state in [("active", 1), ("leaving", 2), ("left", 0)]:
        assert list_row({**row, "state": wire_name}) == (("n", "z", 3, state, 2.5, 4.5, "k"), "h:1")


# ---- 6. operators' output and the simulator's protocol

# fmt: off
PLAIN_STATS = split_items(
    "done edge.results.read.succeeded=0 edge.results.read.declined=0 edge.results.read.aborted=0 "
    "edge.forwards=0 edge.outstanding=0 edge.discovered=1 edge.ejected=0 edge.sighup_applied=0 "
    "edge.sighup_rejected=0 ")
FLEET_STATS = split_items(
    "members=1 configured=3 connected=0 superseded=0 limits=0 leases=0 granting=0 verdicts=0 "
    "verdicts.ban=0 verdicts.dead=0 verdicts.cold=0 verdicts.turning=0 verdicts.slow=0 "
    "verdicts.leaving=0 sent=0 sent_bytes=0 received=0 held_back=0 dropped.group=1 link_dropped=0 "
    "late_ticks=0 ")
NODES_STATS = split_items(
    "version=3 list_age_ms=* discovery=0 given=1 kept=0 by_news=0 held_back=0 ")
REPLICATION_STATS = split_items(
    "filled=0 superseded=0 synced=0 records=0 under_way=0 rounds=0 claimed=0 made=0 repeated=0 "
    "in_progress=0 may_have_run=0 no_majority=0 unmade=0 repair_given=0 repair_taken=0 repair_bytes=0 "
    "dropped.malformed=1 ")
STORE_STATS = split_items(
    "open=1 damaged=0 sound=1 records=0 log_bytes=32 live_bytes=0 commits=0 rows=0 failed=0 snapshots=0 "
    "torn_bytes=0 ")
SMALL = {"name": "g0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "admin": "127.0.0.1:0",
         "settings": MINIMAL, "known": {"version": 3, "servers": [{"id": "n1", "addr": "h:1"}]}}
# fmt: on


CALLS = [
    ("ready", ["done yes"]), ("STATS", [*PLAIN_STATS, "end"]), ("HALT", ["error unknown call HALT"]),
    ("DISABLE n9", ["error no: no storage node n9 on the list"]), ("DISABLE n1", ["done n1"]),
    ("STATS", [*(line.replace(".ejected=0", ".ejected=1") for line in PLAIN_STATS), "end"]),
    ("ENABLE", ["error wants the id of one storage node"]), ("DRAIN", ["done"]), ("UNDRAIN", ["done"]),
]  # fmt: skip


def test_the_stats_lines_of_results():
    results = [("read", SERVED), ("read", REJECTED), ("read", FAILED), ("read", FAILED), ("old", SERVED)]
    read = split_items("read.succeeded=1 read.declined=1 read.aborted=2")
    rest = split_items(
        "write.succeeded=0 write.declined=0 write.aborted=0 old.succeeded=1 old.declined=0 old.aborted=0"
    )
    expected = [f"edge.results.{item}" for item in read + rest]
    assert stats_lines(results, ["read", "write"], {"a": 1}) == [*expected, "edge.a=1"]


def test_the_operators_calls_their_responses_and_the_file_of_ejections(tmp_path):
    file = tmp_path / "shaletiller-g0-bans.json"

    async def call_gateway():
        _, load_list, answer = gateway_of(configured(tmp_path, SMALL, "", TMPDIR=str(tmp_path)))
        assert await answer("READY") == ["error no: not ready"]
        load_list()
        for line, expected in CALLS:
            assert await answer(line) == expected
        assert file.read_bytes() == b'["n1"]'
        assert await answer("ENABLE n1") == ["done n1"]
        assert file.read_bytes() == b"[]"

    asyncio.run(call_gateway())
    file.write_bytes(b'["n2","n3"]')
    assert read_ejections(file) == ({"n2", "n3"}, [{"n2", "n3"}])


def test_the_stats_of_a_gateway_in_a_fleet_and_the_hashes_of_its_messages(tmp_path):
    members = "".join(f'member "g{n}" address="127.0.0.1:{7100 + n}"\n' for n in range(3))
    operator = f'fleet {{\nname "campus"\n{members}}}\nstore {{\ndir "{tmp_path}/store"\n}}\n'
    operator += "promises {\non true\nlease-tables true\n}\n"
    replication_frame = from_hex("50c1")  # "P"
    gossip_frame = from_hex("9701cedeadbeef02cf0000018bcfe5680001cf018bcfe56800000790")

    async def call_gateway():
        instance, load_list, answer = gateway_of(
            configured(tmp_path, SMALL, "", operator, TMPDIR=str(tmp_path))
        )
        load_list()
        received = await receive_frames(instance, replication_frame, gossip_frame)
        # The hashes are those of "campus+tables" and "campus".
        assert received == ((15907461, 2948227333), [replication_frame], {"group": 1})
        lines = await answer("STATS")
        await close_gateway(instance)
        return lines

    lines = asyncio.run(call_gateway())
    named = [line if "list_age_ms" not in line else "edge.nodes.list_age_ms=*" for line in lines]
    more = {"fleet": FLEET_STATS, "nodes": NODES_STATS, "promises": REPLICATION_STATS, "store": STORE_STATS}
    expected = [f"edge.{part}.{item}" for part, items in more.items() for item in items]
    assert named == [*PLAIN_STATS, *expected, "end"]


# fmt: off
SIMULATOR_EVENTS = [
    (["PeersKnown", 2, 7, [["n1", "za", "k", 4, 2, 1.5, 9.5], ["n2"]]],
     (2, (("n1", "za", 4, 2, 1.5, 9.5, "k"), ("n2", "", 0, 1, 1.0, 0.0, "")), 7, 0.0)),
    (["Submit", "t/1", 4, "obj:a", "p", 2, 1200.5, "vol", 3, "read", 2.5],
     ("t/1", 4, "obj:a", "p", "read", "vol", 2.5, 1200.5, 3, True, False, 0)),
    (["Submit", "t/1", 4, "obj:a", "p", 4, 1200.5, "vol", 3, "read", 2.5],
     ("t/1", 4, "obj:a", "p", "read", "vol", 2.5, 1200.5, 3, False, True, 0)),
    (["Alarm", "turn tok"], (("tok",),)),
    (["Alarm", "round"], ((),)),
    (["Alarm", "overdue t/1 2"], (("t/1", 2),)),
    (["Alarm", "ask"], ((),)),
    (["Done", "t/1", 2, "n1", "completed", 3.5, True, 4.5, 5.5, {"load": 6.5}],
     ("t/1", 2, "n1", "ok", 3.5, True, 4.5, 5.5, (("load", 6.5),))),
    (["Headers", "t/1", 2, "n1", 7.5], ("t/1", 2, "n1", 7.5)),
    (["NeighbourSays", 3, "hi"], (3, "hi")),
    (["Abandoned", "t/1"], ("t/1",)),
    *((["ProbeResult", "n1", wire_name, 8.5, [["load", 9]]], ("n1", value, 8.5, (("load", 9.0),)))
      for wire_name, value in [
        ("completed", "ok"), ("errored", "error"), ("saturated", "full"), ("overdue", "timeout"),
        ("refused_conn", "connect_failed"), ("severed", "reset"), ("recalled", "cancelled"),
        ("superseded", "moot")]),
]
# fmt: on


def test_the_simulators_events_are_read_by_their_names():
    happened = [["Up", 7, INFO], *(event for event, _ in SIMULATOR_EVENTS), ["Down"], ["Novelty", 1]]
    line = json.dumps({"time-ms": 5.5, "groups": [{"host": "host-0", "happened": happened}]})
    now_ms, [(host, found)] = read_batch(line)
    assert (now_ms, host, [kind for kind, _ in found]) == (5.5, "host-0", [event[0] for event in happened])
    assert (found[0][1][0], plain(found[0][1][1])) == (7, SETTINGS)
    assert found[-2:] == [("Down", None), ("Novelty", None)]
    for (kind, event), (_, values) in zip(found[1:-2], SIMULATOR_EVENTS, strict=True):
        assert (type(event), plain(event)) == (EVENT_KINDS[kind], values)


def test_the_simulators_actions_are_written_as_this_line():
    alarm = '{"time-ms":1,"groups":[{"host":"host-0","happened":[["Alarm","round"]]}]}'
    expected = (
        '[["CallOut","t/1","n1",12.5],["TurnAway","t/2",40.0],["Surrender","t/3"],["Revoke","t/4",2],'
        '["Defer",3.5,"turn tok"],["Defer",20.0,"round"],["Defer",30.0,"overdue t/1 2"],["Defer",40.0,"ask"],'
        '["AskLoad","n2"],["BroadcastTo",null,"é"],["BroadcastTo",4,"x"],'
        '["KeepInformed",true],["QueryAll"],["FreeLinks","n3"],["Emit","line"]]'
    )
    assert write_simulator_reply(ACTIONS, alarm) == f'{{"groups":[{{"host":"host-0","output":{expected}}}]}}'


# ---- 7. message framing

FRAMES = from_hex("00000003616263000000025000")


def test_a_link_puts_four_bytes_of_length_before_each_message():
    async def exchange_frames():
        bytes_received, received = bytearray(), []

        async def collect(reader, writer):
            bytes_received.extend(await reader.readexactly(len(FRAMES)))
            writer.close()

        peer_server = await asyncio.start_server(collect, "127.0.0.1", 0)
        running = asyncio.ensure_future(link_sender(peer_server.sockets[0].getsockname()[:2], b"abc", b"P\0"))
        listener = await asyncio.start_server(link_receiver(received.append), "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*listener.sockets[0].getsockname()[:2])
        writer.write(FRAMES)
        async with asyncio.timeout(5):
            while len(bytes_received) < len(FRAMES) or len(received) < 2:
                await asyncio.sleep(0.005)
        running.cancel()
        writer.close()
        peer_server.close()
        listener.close()
        return bytes(bytes_received), received

    assert asyncio.run(exchange_frames()) == (FRAMES, [b"abc", b"P\0"])


def test_datagrams_have_no_frame_and_their_first_byte_separates_fleet_messages_from_texts():
    text, fleet, sent = [], [], []
    send_text, send, receive = peer_endpoint_functions((("a", 1), ("b", 2)), ("all", 3), text, fleet, sent)
    send_text(1, "é")
    send_text(None, "x")
    send(0, from_hex("9701"))
    send(0, bytes(257))  # Dropped, because it is longer than the platform's limit.
    assert sent == [(from_hex("c3a9"), ("b", 2)), (b"x", ("all", 3)), (from_hex("9701"), ("a", 1))]
    receive(from_hex("9701"), ("a", 1))
    for raw in ("c3a9", "50", "ff"):  # The last one is dropped, because it is not valid UTF-8.
        receive(from_hex(raw), ("b", 2))
    receive(b"x", ("c", 9))  # Dropped, because the sender is not a peer.
    assert (fleet, text) == ([from_hex("9701")], [(1, "é"), (1, "P")])
