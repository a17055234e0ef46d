"""Tests of cancelled calls and of the encoding of messages."""

import dataclasses

import anyio
import pytest
from cuminbend import consensus, messages
from cuminbend.exceptions import PeerUnreachableError, RunState
from cuminbend.messages import (
    Announcement,
    GateHandover,
    Holding,
    InstanceInfo,
    OwnedUpstream,
    PollReply,
    PollRequest,
    ShardFailure,
    ShardReply,
    ShardRequest,
    Snapshot,
    UpstreamRecord,
    WorkKind,
)
from local_cluster import free_address

from cuminbendd.peers import PeerClients, start_server
from cuminbendd.peers._codec import from_wire, to_wire
from cuminbendd.proto import cuminbend_v1_pb2 as pb
from cuminbendd.proto import cuminbend_v1_pb2_grpc as pb_grpc

INSTANCE_INFO = InstanceInfo("entry-1", "cork", "10.0.0.1:1", "10.0.0.1:2", 2.0, True)
INDEX_SNAPSHOT = Snapshot("v7", "p1")
ANNOUNCEMENT = Announcement(
    "u", 3, "cork", "10.0.0.2:1", "s", (Holding(INDEX_SNAPSHOT, 4),), 2, 25
)
MESSAGES = [
    PollRequest(
        INSTANCE_INFO,
        "boot",
        5,
        6,
        (("u", 7),),
        (GateHandover("u", 3, 2, 1),),
        (ANNOUNCEMENT,),
    ),
    PollReply("entry-1", 2, 12.5, 5, 6),
    PollReply(
        "entry-1",
        2,
        12.5,
        5,
        6,
        configuration_text="",
        upstreams=(
            UpstreamRecord(ANNOUNCEMENT, "entry-1"),
            UpstreamRecord(ANNOUNCEMENT),
        ),
        instances=(INSTANCE_INFO,),
        owned=(OwnedUpstream("u", 7, 6, GateHandover("u", 3, 2)),),
        revoked=("v",),
        quarantined=("f",),
        suspects=(("g", "u"),),
        in_force_version=4,
    ),
    ShardRequest(
        "r", "c", "m", "s", "u", WorkKind.HEDGE, b"{}", 9.5, "f", 3, INDEX_SNAPSHOT
    ),
    ShardRequest(
        "r", "c", "m", "s", "u", WorkKind.SUBMIT, b"", 9.5, idempotency_key=""
    ),
    ShardReply("r", "u", 3, b"\x00", INDEX_SNAPSHOT, False, 1.5),
    ShardFailure("r", "UpstreamError", "m", RunState.UNKNOWN, "reset", 0, ("a",)),
    consensus.AppendRequest(
        1, "a", 2, 3, (consensus.Entry(1, 2, "command", b"x", 3.5),), 4, 5, "disk"
    ),
    consensus.SnapshotRequest(1, "a", 2, 3, (consensus.Voter("a", "d"),), b"x"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda item: type(item).__name__)
def test_messages_are_unchanged_after_encoding_and_decoding(message):
    # Guards against a field of a data class that is missing in the schema, and against
    # a field of the schema that is missing in the data class.
    encoded = type(to_wire(message)).FromString(to_wire(message).SerializeToString())
    assert from_wire(type(message), encoded) == message


def test_every_schema_message_has_the_fields_of_its_data_class():
    # Guards against a field that was added only to the schema or only to the data
    # class.
    for module in (messages, consensus):
        for name in module.__all__:
            data_class = getattr(module, name)
            descriptor = getattr(pb, name, None)
            if descriptor is None or not dataclasses.is_dataclass(data_class):
                continue
            wire_only_fields = {"protocol_version", "has_upstreams", "forwarded"}
            wire_fields = set(descriptor.DESCRIPTOR.fields_by_name) - wire_only_fields
            assert wire_fields == {
                field.name for field in dataclasses.fields(data_class)
            }


class HangingControlService(pb_grpc.ControlServicer):
    """Answers no poll."""

    async def Poll(self, request, context):  # noqa: N802
        """Never return."""
        await anyio.sleep_forever()


async def _run_with_hanging_peer(scenario):
    address = free_address()
    server = await start_server(address, [HangingControlService()])
    peers = PeerClients(addresses={"peer": address})
    try:
        with anyio.fail_after(10):
            await scenario(peers)
    finally:
        await peers.close()
        await server.stop(grace=None)


def test_cancelling_a_poll_ends_only_the_poll():
    # Guards against the end of the whole instance: a cancel scope does not recognise
    # the CancelledError that gRPC raises, and passes it on.
    async def cancel_poll(peers):
        with anyio.move_on_after(0.2) as scope:
            await peers.poll("peer", PollRequest(INSTANCE_INFO, "b", 0, 0), 5000)
        assert scope.cancelled_caught

    anyio.run(_run_with_hanging_peer, cancel_poll)


def test_closing_a_channel_fails_the_calls_on_it():
    # Guards against the end of the whole instance when another task replaces a silent
    # channel: gRPC raises a CancelledError in the calls on it.
    async def close_channel_in_use(peers):
        errors = []

        async def poll():
            try:
                await peers.poll("peer", PollRequest(INSTANCE_INFO, "b", 0, 0), 5000)
            except PeerUnreachableError as error:
                errors.append(error)

        async with anyio.create_task_group() as group:
            group.start_soon(poll)
            await anyio.sleep(0.2)
            await peers.replace_channel("peer", peers.channel("peer"))
        assert len(errors) == 1

    anyio.run(_run_with_hanging_peer, close_channel_in_use)
