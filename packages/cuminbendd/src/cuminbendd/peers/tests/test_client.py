"""Tests of unary calls that are cancelled."""

from typing import Any

import anyio
import anyio.lowlevel
import pytest
from cuminbend.exceptions import PeerUnreachableError
from local_cluster import free_address

from cuminbendd.peers import PeerClients, start_server
from cuminbendd.proto import cuminbend_v1_pb2 as pb
from cuminbendd.proto import cuminbend_v1_pb2_grpc as pb_grpc

LIMIT_S = 5.0
CANCELLATIONS = 200


class HeldControl(pb_grpc.ControlServicer):
    """Never answers a poll."""

    def __init__(self) -> None:
        self.polls = 0
        self.polled = anyio.Event()

    async def Poll(self, request: Any, context: Any) -> Any:  # noqa: N802
        self.polls += 1
        self.polled.set()
        await anyio.sleep_forever()


class Held:
    """A client whose polls are held by the server."""

    async def __aenter__(self) -> "Held":
        address = free_address()
        self.control = HeldControl()
        self.server = await start_server(address, [self.control])
        self.peers = PeerClients(addresses={"other": address})
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.peers.close()
        await self.server.stop(grace=None)

    async def poll(self) -> None:
        await self.peers.send_poll("other", pb.PollRequest(), LIMIT_S * 1000)


def test_cancelled_scope_ends_only_the_scope() -> None:
    """Guards against a cut poll that ends the task group of the whole instance."""

    async def main() -> int:
        survived = 0
        async with Held() as held, anyio.create_task_group() as group:

            async def cut_polls() -> None:
                nonlocal survived
                for turn in range(CANCELLATIONS):
                    held.control.polled = anyio.Event()
                    async with anyio.create_task_group() as cut:
                        cut.start_soon(held.poll)
                        # Cuts some calls before and some after they are sent.
                        if turn % 2:
                            await held.control.polled.wait()
                        cut.cancel_scope.cancel()
                    with anyio.CancelScope() as scope:
                        group.start_soon(cancel_soon, scope, turn % 4)
                        await held.poll()
                    survived += 1

            async def cancel_soon(scope: anyio.CancelScope, turns: int) -> None:
                for _ in range(turns):
                    await anyio.lowlevel.checkpoint()
                scope.cancel()

            with anyio.fail_after(LIMIT_S):
                async with anyio.create_task_group() as instance:
                    instance.start_soon(cut_polls)
        return survived

    assert anyio.run(main) == CANCELLATIONS


def test_call_on_a_closed_channel_is_unreachable() -> None:
    """Guards against a closed channel that looks like a cancelled task."""

    async def main() -> None:
        async with Held() as held, anyio.create_task_group() as group:

            async def close() -> None:
                await held.control.polled.wait()
                channel = held.peers.channel("other")
                await channel.close()

            group.start_soon(close)
            with anyio.fail_after(LIMIT_S), pytest.raises(PeerUnreachableError) as info:
                await held.poll()
            assert info.value.sent

    anyio.run(main)
