"""What does one more upstream, instance, shard request or claim cost?"""

import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import uuid6
from cuminbend.config import parse_configuration
from cuminbend.messages import (
    Announcement,
    Holding,
    InstanceInfo,
    PollReply,
    ShardReply,
    ShardRequest,
    Snapshot,
    UpstreamRecord,
    WorkKind,
)
from cuminbend.replicated import ClaimSubmit, ReplicatedState, encode_command
from cuminbend.sessions import Lease, SessionView
from cuminbendd.peers._codec import from_wire, to_wire
from cuminbendd.proto import cuminbend_v1_pb2 as pb
from cuminbendd.system import SystemClock

from benchmarks._base import Deployment, Row

QUESTION = "slopes"
REPETITIONS = 5
SNAPSHOT = Snapshot("2026-12-04", "p1")


def _time_us(action: Callable[[], Any], count: int) -> float:
    """Return the median CPU time in microseconds per unit of ``count`` units."""
    values = []
    for _ in range(REPETITIONS):
        started_s = time.process_time()
        action()
        values.append((time.process_time() - started_s) * 1e6 / count)
    return statistics.median(values)


def _record(number: int) -> UpstreamRecord:
    return UpstreamRecord(
        Announcement(
            upstream=f"match-{number:05}-a",
            incarnation=number,
            data_centre="limerick",
            address=f"10.1.{number // 250}.{number % 250}:8080",
            service=f"match-{number:05}",
            holdings=(Holding(SNAPSHOT, 0),),
            slots=2,
            connection_limit=25,
        ),
        owner="entry-1",
    )


def _registry_rows() -> list[Row]:
    count = 1000
    records = tuple(_record(number) for number in range(count))
    reply = PollReply("entry-1", 1, 50.0, 1, 1, upstreams=records)
    encoded_reply = to_wire(reply).SerializeToString()

    def decode() -> Any:
        return from_wire(PollReply, pb.PollReply.FromString(encoded_reply))

    clock = SystemClock()
    view = SessionView(lease=Lease(clock=clock, lease_ms=3000), clock=clock)
    view.configuration = parse_configuration(Deployment().operator_file())
    tracemalloc.start()
    view.upstreams = {item.announcement.upstream: item for item in records}
    copies = [decode() for _ in range(3)]
    memory_bytes = tracemalloc.get_traced_memory()[0] / len(copies) / count
    tracemalloc.stop()
    return [
        Row(
            QUESTION,
            "registry: bytes on the wire per upstream",
            len(encoded_reply) / count,
        ),
        Row(
            QUESTION,
            "registry: encode per upstream, us",
            _time_us(lambda: to_wire(reply).SerializeToString(), count),
        ),
        Row(QUESTION, "registry: decode per upstream, us", _time_us(decode, count)),
        Row(
            QUESTION, "registry: index per upstream, us", _time_us(view.reindex, count)
        ),
        Row(QUESTION, "registry: memory per upstream, bytes", memory_bytes),
    ]


def _directory_rows() -> list[Row]:
    count = 1000
    infos = tuple(
        InstanceInfo(f"entry-{n}", "limerick", f"10.0.0.1:{n}", f"10.0.0.2:{n}")
        for n in range(count)
    )
    encoded_reply = to_wire(
        PollReply("a", 1, 1.0, 1, 1, instances=infos)
    ).SerializeToString()
    return [Row(QUESTION, "directory: bytes per instance", len(encoded_reply) / count)]


def _relay_rows() -> list[Row]:
    count = 50
    requests = [
        ShardRequest(
            f"boot-{n}", "caller", "m", f"match-{n}", f"match-{n}-a",
            WorkKind.SEARCH, b'{"swatch": "ash"}', 290.0, "f" * 32, 0, SNAPSHOT,
        )
        for n in range(count)
    ]  # fmt: skip
    replies = [
        ShardReply(f"boot-{n}", f"match-{n}-a", 1, b'{"match": "x"}', SNAPSHOT)
        for n in range(count)
    ]

    def encode_batch(items: list[Any], batch: Any, field: str) -> bytes:
        getattr(batch, field).extend([to_wire(item) for item in items])
        return bytes(batch.SerializeToString())

    request_data = encode_batch(requests, pb.RelayRequest(), "requests")
    reply_data = encode_batch(replies, pb.RelayReply(), "replies")

    def decode_requests() -> None:
        for message in pb.RelayRequest.FromString(request_data).requests:
            from_wire(ShardRequest, message)

    def decode_replies() -> None:
        for message in pb.RelayReply.FromString(reply_data).replies:
            from_wire(ShardReply, message)

    return [
        Row(
            QUESTION,
            "relay: encode and decode a request in a batch, us",
            _time_us(
                lambda: encode_batch(requests, pb.RelayRequest(), "requests"), count
            )
            + _time_us(decode_requests, count),
        ),
        Row(
            QUESTION,
            "relay: encode and decode a reply in a batch, us",
            _time_us(lambda: encode_batch(replies, pb.RelayReply(), "replies"), count)
            + _time_us(decode_replies, count),
        ),
        Row(
            QUESTION,
            "relay: bytes of a request and its reply",
            (len(request_data) + len(reply_data)) / count,
        ),
    ]


def _claim_rows() -> list[Row]:
    count = 2000
    state = ReplicatedState()
    now_ms = time.time() * 1000
    commands = [
        encode_command(
            ClaimSubmit("m", "chairbook", str(uuid6.uuid7()), "d" * 64, f"c{n}", "e")
        )
        for n in range(count)
    ]
    started_s = time.process_time()
    for command in commands:
        state.apply("command", command, now_ms)
    apply_us = (time.process_time() - started_s) * 1e6 / count
    return [
        Row(QUESTION, "claim: apply to the state machine, us", apply_us),
        Row(QUESTION, "claim: bytes in the log", len(commands[0])),
        Row(QUESTION, "claim: bytes in a snapshot", len(state.snapshot()) / count),
    ]


def _configuration_rows() -> list[Row]:
    count = 500
    text = Deployment(services=count).operator_file()
    started_s = time.process_time()
    parse_configuration(text)
    parse_us = (time.process_time() - started_s) * 1e6 / count
    return [
        Row(QUESTION, "configuration: parse per service, us", parse_us),
        Row(QUESTION, "configuration: bytes per service", len(text) / count),
    ]


def run() -> list[Row]:
    """Return the rows of this question."""
    return [
        *_registry_rows(),
        *_directory_rows(),
        *_relay_rows(),
        *_claim_rows(),
        *_configuration_rows(),
    ]
