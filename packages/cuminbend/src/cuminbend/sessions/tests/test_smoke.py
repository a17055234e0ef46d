"""A single instance gets a lease."""

import random
from datetime import UTC, datetime, timedelta

import trio
import trio.testing

from cuminbend.messages import InstanceInfo, PollReply, PollRequest
from cuminbend.sessions import (
    CoordinatorSettings,
    SessionClient,
    SessionCoordinator,
    SessionSettings,
)


class Clock:
    def now(self) -> datetime:
        return datetime.fromtimestamp(trio.current_time(), UTC)

    def monotonic_ms(self) -> float:
        return trio.current_time() * 1000

    async def sleep(self, delay: timedelta) -> None:
        await trio.sleep(delay.total_seconds())


class Source:
    is_leader, leader, term, led_since_ms = True, "a", 1, 0.0
    version, text, configuration = 0, "", None
    quarantined: frozenset[str] = frozenset()
    suspects: dict[str, str] = {}  # noqa: RUF012

    def confirmed_at_ms(self) -> float:
        return trio.current_time() * 1000


def test_poll_extends_the_lease() -> None:
    # Guards against an instance that never gets its first lease.
    async def main() -> None:
        coordinator = SessionCoordinator(
            settings=CoordinatorSettings(),
            clock=Clock(),
            leadership=Source(),
            configuration=Source(),
        )

        class Transport:
            async def poll(
                self, instance: str, request: PollRequest, timeout_ms: float
            ) -> PollReply:
                return await coordinator.poll(request)

        client = SessionClient(
            settings=SessionSettings(voters=("a",)),
            info=InstanceInfo("a", "x", "1:1", "1:2"),
            transport=Transport(),
            clock=Clock(),
            random=random.Random(1),
            boot_id="1",
            listener=None,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.run)
            await trio.sleep(10)
            assert client.view.lease.is_valid(2000)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
