"""Decoding of settings, store records, manifests and worker entries, with faults."""

import json
import random

import pytest

from foxtailbank.fleet.worker_table import RECOVERY_GRACE_MS
from foxtailbank.forward.fleet_state import FleetState
from foxtailbank.forward.route import RouteKind
from foxtailbank.forward.route_table import RouteTable
from foxtailbank.keyed_log import KeyedRecord, LogSlice
from foxtailbank_platform.framing import (
    FrameUnreadable,
    decode_slice,
    encode_records,
)
from foxtailbank_platform.manifest import (
    ManifestState,
    ManifestUnreadable,
    decode_manifest,
)
from foxtailbank_platform.settings import (
    SettingsInvalid,
    decode_settings,
    read_settings,
)
from foxtailbank_platform.worker_list import (
    EntryUnreadable,
    WorkerListState,
    decode_entry,
)
from serving_fakes import make_logs, manual_clock

SETTINGS = """node_name=n1
zone=z1
ip=127.0.0.1
listen.front=127.0.0.1:8144
listen.ready=127.0.0.1:8140
port_range=7660,7675
platform.address=127.0.0.1:8142
unknown.field=1
"""


def test_settings_are_decoded():
    settings = decode_settings(SETTINGS)
    assert (settings.vm_id, settings.peer_port) == ("n1", 7660)


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("node_name=n1", "", "node_name is missing"),
        ("127.0.0.1:8144", "somewhere", "listen.front"),
        ("7660,7675", "ports", "port_range"),
        ("unknown.field=1", "bounds.grace_s=soon", "bounds.grace_s"),
        ("zone=z1\nip=127.0.0.1", "", "zone is missing; ip is missing"),
    ],
)
def test_invalid_settings_are_rejected(old, new, named):
    with pytest.raises(SettingsInvalid, match=named.split(";")[0]) as raised:
        decode_settings(SETTINGS.replace(old, new))
    assert named in raised.value.detail


def test_missing_settings_file_is_rejected(tmp_path):
    with pytest.raises(SettingsInvalid):
        read_settings(str(tmp_path / "none"))


def test_records_round_trip_through_framing():
    records = (
        KeyedRecord(key="k1", value=b"v"),
        KeyedRecord(key="k2", value=b""),
    )
    data = (9).to_bytes(8, "big") + (0).to_bytes(8, "big") + encode_records(records)
    found = decode_slice(data, start=7)
    assert [(r.key, r.value, r.offset) for r in found.records] == [
        ("k1", b"v", 7),
        ("k2", b"", 8),
    ]
    assert found.end == 9


@pytest.mark.parametrize(
    "data", [b"", b"\0" * 15, b"\0" * 18, b"\0" * 16 + b"\0\0\0\x09ab"]
)
def test_malformed_frames_are_rejected(data):
    with pytest.raises(FrameUnreadable):
        decode_slice(data, start=0)


def test_overlong_key_is_rejected():
    with pytest.raises(FrameUnreadable):
        encode_records((KeyedRecord(key="k" * 256, value=b""),))


def make_manifest(version=1, **route):
    fields = {
        "name": "r",
        "host": "H.example",
        "path_prefix": "/p/",
        "type": "safe",
        "service": "s",
        "max_attempts": 2,
    }
    fields.update(route)
    return json.dumps({"version": version, "routes": [fields]}).encode()


def test_route_fields_are_decoded():
    data = make_manifest(type="batch", cap=9, retention_s=60, run_deadline_ms=18_000)
    route = decode_manifest(data).routes[0]
    assert route.kind is RouteKind.BATCH
    assert (route.host, route.owner) == ("h.example", "H.example")
    assert (route.waiting_tokens, route.give_up_ms) == (9, 60_000)


def test_unknown_route_type_is_unsafe():
    assert decode_manifest(make_manifest(type="new")).routes[0].kind is RouteKind.UNSAFE


@pytest.mark.parametrize(
    ("engine", "life_ms"),
    [
        pytest.param({"hold_ms": 2_000.0, "slots": 7}, 2_000, id="offered"),
        pytest.param({"slots": 7}, 0, id="not-offered"),
        pytest.param(None, 0, id="no-engine"),
    ],
)
def test_reservation_lifetime_by_service(engine, life_ms):
    service = {"name": "s", "health_path": "/h"}
    if engine is not None:
        service["engine"] = engine
    manifest = {"version": 1, "routes": [], "services": [service]}
    table = RouteTable()
    table.apply(decode_manifest(json.dumps(manifest).encode()))
    assert table.reservation_ms("s") == life_ms
    assert table.reservation_ms("other") == 0


def test_fractional_weights_are_kept():
    backends = [{"service": "a", "weight": 0.25}, {"service": "b", "weight": 0.75}]
    route = decode_manifest(make_manifest(backends=backends)).routes[0]
    assert [backend.weight for backend in route.backends] == [0.25, 0.75]


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b"[]", b'{"version": "x", "routes": []}', b'{"version": 1}']
)
def test_malformed_manifests_are_rejected(data):
    with pytest.raises(ManifestUnreadable):
        decode_manifest(data)


def make_slice(*pairs):
    records = tuple(
        KeyedRecord(key=key, value=value, offset=offset)
        for offset, (key, value) in enumerate(pairs)
    )
    return LogSlice(records=records, end=len(records))


def test_older_or_unreadable_configuration_is_ignored():
    routes = RouteTable()
    state = ManifestState(routes=routes, logs=make_logs())
    state.restore(make_slice(("config", make_manifest(version=4))))
    state.apply_records(make_slice(("config", b"{")))
    state.apply_records(
        make_slice(("config", make_manifest(version=3, path_prefix="/q/")))
    )
    state.apply_records(make_slice(("other", make_manifest(version=9))))
    assert routes.version == 4
    assert routes.find("h.example", "/p/x") is not None
    assert routes.find("h.example", "/q/x") is None


def test_longest_path_prefix_of_a_host_wins():
    routes = RouteTable()
    state = ManifestState(routes=routes, logs=make_logs())
    body = json.loads(make_manifest())
    body["routes"].append({**body["routes"][0], "name": "long", "path_prefix": "/p/q/"})
    state.restore(make_slice(("config", json.dumps(body).encode())))
    assert routes.find("h.example", "/p/q/x").name == "long"
    assert routes.find("h.example", "/p/x").name == "r"
    assert routes.find("other.example", "/p/x") is None


def make_entry(**fields):
    entry = {"service": "s", "address": "127.0.0.1:1", "state": "ready", "slots": 2}
    entry.update(fields)
    return json.dumps(entry).encode()


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"{}",
        make_entry(state="lost"),
        make_entry(slots=0),
        make_entry(slots="many"),
        make_entry(address="somewhere"),
        make_entry(service=None),
    ],
)
def test_malformed_entries_are_rejected(value):
    with pytest.raises(EntryUnreadable):
        decode_entry("w", value)


class WorkerListHarness:
    def __init__(self):
        self.clock = manual_clock()
        self.fleet = FleetState(
            rng=random.Random(1),
            vm_id="vm1",
            zone="z",
            routes=RouteTable(),
            logs=make_logs(),
            clock=self.clock,
        )
        self.state = WorkerListState(
            fleet=self.fleet, logs=make_logs(), clock=self.clock
        )

    @property
    def usable(self):
        return [worker.worker_id for worker in self.fleet.workers.usable("s")]


def test_workers_join_drain_and_leave():
    harness = WorkerListHarness()
    harness.state.restore(make_slice(("w1", make_entry()), ("w2", make_entry())))
    assert harness.usable == ["w1", "w2"]
    harness.state.apply_records(make_slice(("w1", make_entry(state="draining"))))
    assert harness.usable == ["w2"]
    harness.state.apply_records(make_slice(("w2", b"")))
    assert harness.usable == []


def test_older_report_does_not_undo_draining():
    harness = WorkerListHarness()
    harness.state.apply_records(
        make_slice(("w", make_entry(state="draining", born=5, sequence=8)))
    )
    harness.state.apply_records(make_slice(("w", make_entry(born=5, sequence=7))))
    assert harness.usable == []
    harness.state.apply_records(make_slice(("w", make_entry(born=6, sequence=0))))
    assert harness.usable == ["w"]


def test_unreadable_entries_are_skipped():
    harness = WorkerListHarness()
    harness.state.apply_records(
        make_slice(("w", make_entry()), ("x", b"\xff"), ("w", b"{}"))
    )
    assert harness.usable == ["w"]


def test_entries_lapsed_in_a_store_outage_get_a_grace_period():
    harness = WorkerListHarness()
    harness.state.apply_records(make_slice(("w", make_entry()), ("gone", make_entry())))
    harness.fleet.workers.on_store_recovered(harness.clock.now_ms())
    harness.state.restore(make_slice())
    assert harness.usable == ["gone", "w"]
    harness.state.apply_records(make_slice(("w", make_entry())))
    harness.clock.advance(RECOVERY_GRACE_MS)
    assert harness.fleet.workers.expire(harness.clock.now_ms()) == ("gone",)
    assert harness.usable == ["w"]
