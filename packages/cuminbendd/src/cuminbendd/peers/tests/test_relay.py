"""The stream to a peer, over calls that end at any moment."""

import asyncio
from types import SimpleNamespace

import anyio
import pytest
from cuminbend.exceptions import RunState, UnavailableError
from cuminbend.messages import ShardRequest, WorkKind

from cuminbendd.peers import _relay


class EndedCall:
    """A call that the peer ended before its reader noticed.

    Attributes:
        writes_left: Writes that still succeed.
    """

    def __init__(self, *, writes_left: int) -> None:
        self.writes_left = writes_left
        self._answered = False

    async def read(self):
        """Return one answer to a heartbeat, then wait."""
        if self._answered:
            await anyio.sleep_forever()
        self._answered = True
        return SimpleNamespace(replies=[], failures=[])

    async def write(self, message):
        """Fail as gRPC does on a call that is done."""
        if not self.writes_left:
            raise asyncio.InvalidStateError("RPC already finished.")
        self.writes_left -= 1

    def cancel(self):
        """Nothing is left to cancel."""


@pytest.mark.parametrize("writes_left", [0, 1])
def test_write_on_an_ended_call_breaks_only_the_stream(monkeypatch, writes_left):
    # Guards against a crash of the whole instance when a peer stops while this one
    # writes to it; the requests fail with a true run state instead.
    calls = []

    def exchange():
        calls.append(EndedCall(writes_left=writes_left))
        return calls[-1]

    stub = SimpleNamespace(Exchange=exchange)
    monkeypatch.setattr(_relay.pb_grpc, "RelayStub", lambda channel: stub)
    monkeypatch.setattr(_relay, "RECONNECT_PAUSE_S", 0.01)
    peers = SimpleNamespace(channel=lambda instance: None)
    stream = _relay._PeerStream(instance="peer", own_name="own", peers=peers)
    request = ShardRequest("r", "c", "m", "s", "u", WorkKind.SEARCH, b"{}", 5000.0, "")

    async def use():
        async with anyio.create_task_group() as group:
            group.start_soon(stream.run)
            with pytest.raises(UnavailableError) as caught:
                await stream.request(request)
            while len(calls) < 3:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        expected = RunState.UNKNOWN if writes_left else RunState.NOT_RUN
        assert caught.value.run_state is expected

    anyio.run(use)
