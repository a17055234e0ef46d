"""Tests of the stream to a peer when the peer ends the call."""

import asyncio
from types import SimpleNamespace

import anyio
import pytest
from cuminbend.exceptions import RunState, UnavailableError
from cuminbend.messages import ShardRequest, WorkKind

from cuminbendd.peers import _relay


class EndedCall:
    """A call that the peer has ended, which its reader has not noticed yet.

    Attributes:
        writes_left: Number of writes that still succeed.
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
        """Do nothing, because the call has ended."""


@pytest.mark.parametrize("writes_left", [0, 1])
def test_write_on_an_ended_call_breaks_only_the_stream(monkeypatch, writes_left):
    # Guards against a crash of the whole instance when a peer stops while this one
    # writes to it. Only the requests fail, as not run if they were not written and as
    # unknown otherwise.
    calls = []

    def start_call():
        calls.append(EndedCall(writes_left=writes_left))
        return calls[-1]

    stub = SimpleNamespace(Exchange=start_call)
    monkeypatch.setattr(_relay.pb_grpc, "RelayStub", lambda channel: stub)
    monkeypatch.setattr(_relay, "RECONNECT_PAUSE_S", 0.01)
    peers = SimpleNamespace(channel=lambda instance: None)
    stream = _relay._PeerStream(instance="peer", own_name="own", peers=peers)
    request = ShardRequest("r", "c", "m", "s", "u", WorkKind.SEARCH, b"{}", 5000.0, "")

    async def send_request_and_reconnect():
        async with anyio.create_task_group() as group:
            group.start_soon(stream.run)
            with pytest.raises(UnavailableError) as raised:
                await stream.send_request(request)
            while len(calls) < 3:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        expected = RunState.UNKNOWN if writes_left else RunState.NOT_RUN
        assert raised.value.run_state is expected

    anyio.run(send_request_and_reconnect)
