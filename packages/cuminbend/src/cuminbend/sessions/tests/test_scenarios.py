"""One fault at a time, on simulated instances; World.check() runs throughout."""

from dataclasses import replace
from itertools import pairwise

import pytest
import trio

from cuminbend.exceptions import InvalidRequestError
from cuminbend.messages import (
    Announcement,
    GateHandover,
    InstanceInfo,
    OwnedUpstream,
    PollReply,
    PollRequest,
    UpstreamState,
)
from cuminbend.sessions import check_announcement
from cuminbend.sessions.tests._world import (
    LEASE_MS,
    LINGER_MS,
    SNAPSHOT,
    Process,
    World,
    announcement,
    now_ms,
    simulate,
)

TAKEOVER_S = (LEASE_MS + 50) / 1000


async def settle(world: World, *announcements: Announcement) -> list[Process]:
    """Announce upstreams and return their owners."""
    for said in announcements:
        world.announce(said)
    await trio.sleep(5)
    owners = [world.owner(said.upstream) for said in announcements]
    assert None not in owners
    return owners  # type: ignore[return-value]


async def wait_owner(world: World, upstream: str, former: Process | None) -> float:
    """Wait for another owner; return the seconds that it took."""
    start_ms = now_ms()
    while world.owner(upstream) in (None, former):
        await trio.sleep(0.01)
        assert now_ms() - start_ms < 60_000, f"{upstream} stays without an owner"
    return (now_ms() - start_ms) / 1000


def names(process: Process) -> set[str]:
    return {info.instance for info in process.view.instances}


@pytest.mark.parametrize(
    "fault",
    ["freeze", "cut", "late timer", "kill", "lost replies", "cut with leader"],
)
def test_upstream_of_lost_owner_moves_after_its_lease(fault: str) -> None:
    # Guards against a grant that is given away while the former owner may still use
    # it: frozen, cut off, cut off and late to notice the end of its lease, restarted
    # under a new boot id, alive behind lost replies, or reachable only for an old
    # leader that is cut off too.
    async def scenario(world: World) -> None:
        (owner,) = await settle(world, announcement("y0", "y"))
        name = owner.info.instance
        match fault:
            case "freeze":
                world.freeze(name)
            case "cut" | "late timer":
                world.clocks[name].lag = 10 if fault == "late timer" else 1
                await trio.sleep(LEASE_MS / 1000)
                world.cut_off(name)
            case "kill":
                world.start(name)
            case "lost replies":
                world.drop = lambda _, target, __: target == name
            case "cut with leader":
                rest = [item for item in world.clocks if item not in (name, "a")]
                world.cut_off("a", rest)
                world.cut_off(name, rest)
        await wait_owner(world, "y0", owner)
        await trio.sleep(0 if fault == "late timer" else 5)
        world.cuts.clear()
        world.thaw(name)
        await trio.sleep(5)

    simulate(scenario, instances="a:x* b:z* c:z* d:y e:y")


def test_leader_change_interrupts_nothing() -> None:
    # Guards against a new leader that takes upstreams from live owners, or that sends
    # its registry before all instances had time to report.
    async def scenario(world: World) -> None:
        said = [announcement(name, name[0], ttl_ms=20_000) for name in ("x0", "y0")]
        owners = await settle(world, *said)
        held = [process.view.owned.copy() for process in owners]
        world.silent_upstreams.update(("x0", "y0"))
        await trio.sleep(0.5)
        world.freeze("a")
        for _ in range(1000):
            await trio.sleep(0.01)
            for process in world.current.values():
                if process.info.instance != "a":
                    assert len(process.view.holders("s", SNAPSHOT, 0)) == 2
                    assert len(names(process)) >= 4
        assert held == [process.view.owned for process in owners]

    simulate(scenario, instances="a:z* b:z* c:z* d:y e:x")


def test_new_leader_waits_before_it_grants() -> None:
    # Guards against a grant by a new leader while a former one's may be valid.
    async def scenario(world: World) -> None:
        await settle(world)
        world.freeze("a")
        await trio.sleep(1)
        assert world.leader != "a"
        led_ms = world.voters[world.leader].led_since_ms
        world.announce(announcement("x0"))
        await wait_owner(world, "x0", None)
        waited_ms = world.clocks[world.leader].monotonic_ms() - led_ms
        assert TAKEOVER_S * 1000 <= waited_ms <= TAKEOVER_S * 1000 + 500

    simulate(scenario)


def test_superseded_report_is_not_renewed() -> None:
    # Guards against a late poll that takes an upstream back from its newer owner, or
    # that releases a newer grant than the one it names.
    async def scenario(world: World) -> None:
        await trio.sleep(1.5)

        async def poll(
            name: str, grant_id: int, *released: GateHandover
        ) -> dict[str, int]:
            info = InstanceInfo(name, "x", "", "")
            request = PollRequest(info, "0", 1, 0, (("x0", grant_id),), released)
            reply = await world.coordinators[world.leader].poll(request)
            assert not reply.revoked
            return {item.upstream: item.grant_id for item in reply.owned}

        assert await poll("f", 5) == {"x0": 5}
        assert await poll("g", 6) == {"x0": 6}
        assert await poll("f", 5) == {}
        assert await poll("g", 5, GateHandover("x0", 1, 1)) == {"x0": 6}
        assert await poll("g", 6, GateHandover("x0", 1, 1)) == {}
        await trio.sleep(TAKEOVER_S)
        assert await poll("h", 7) == {}

    simulate(scenario)


def test_release_hands_over_at_once() -> None:
    # Guards against a planned stop that leaves upstreams vacant for a lease, and
    # against a draining instance that callers still get.
    async def scenario(world: World) -> None:
        (owner,) = await settle(world, announcement("x0"))
        owner.client.start_draining()
        with trio.fail_after(1):
            await owner.client.wait_until_released()
        assert await wait_owner(world, "x0", owner) < 0.5
        new = world.owner("x0")
        assert new is not None
        assert new.view.owned["x0"].handover.limit == 7  # type: ignore[union-attr]
        world.announce(announcement("x1"))
        await trio.sleep(2)
        assert not owner.view.owned
        assert owner.info.instance not in names(new)
        idle = next(item for item in world.current.values() if not item.view.owned)
        idle.client.start_draining()
        await idle.client.wait_until_released()
        assert idle.info.instance not in names(idle)

    simulate(scenario)


def test_lost_grant_can_be_revoked() -> None:
    # Guards against an upstream that stays vacant because the reply with its grant
    # was lost and its owner cannot release what it never saw.
    async def scenario(world: World) -> None:
        await settle(world)

        def drop(_: str, target: str, reply: object) -> bool:
            return isinstance(reply, PollReply) and bool(reply.owned)

        world.drop = drop
        world.announce(announcement("x0"))
        await trio.sleep(0.3)
        world.apply("x")
        await trio.sleep(1)
        world.drop = lambda *_: False
        world.apply()
        await trio.sleep(1)
        assert world.owner("x0") is not None

    simulate(scenario)


def test_connection_caps_stay_within_the_limit() -> None:
    # Guards against owners that disappear one after the other while the upstream
    # still counts their connections.
    async def scenario(world: World) -> None:
        await trio.sleep(TAKEOVER_S + LINGER_MS / 1000 + 1)
        (owner,) = await settle(world, announcement("y0", "y", connection_limit=2))
        assert owner.view.owned["y0"].connection_cap == 1
        world.start(owner.info.instance)
        assert await wait_owner(world, "y0", owner) < LEASE_MS / 1000 + 1
        owner = world.owner("y0")  # type: ignore[assignment]
        world.start(owner.info.instance)
        assert await wait_owner(world, "y0", owner) > LEASE_MS / 1000 + 1

    simulate(scenario, instances="a:x* b:y d:y e:y")


def test_new_leader_allows_for_an_unknown_former_owner() -> None:
    # Guards against a new leader that forgets the connections of an owner that was
    # lost with the former leader.
    async def scenario(world: World) -> None:
        await trio.sleep(TAKEOVER_S + LINGER_MS / 1000 + 1)
        (owner,) = await settle(world, announcement("y0", "y", connection_limit=1))
        world.freeze("a")
        world.start(owner.info.instance)
        assert await wait_owner(world, "y0", owner) > LINGER_MS / 1000

    simulate(scenario, instances="a:x* b:y* c:y* d:y", seed=2)


def test_data_centre_out_and_back() -> None:
    # Guards against work in a data centre that operators took out, and against one
    # that does not come back.
    async def scenario(world: World) -> None:
        upstreams = ["x0", "x1", "x2", "y0", "z0"]
        said = [announcement(upstream, upstream[0]) for upstream in upstreams]
        owners = await settle(world, *said)
        assert len(set(map(id, owners))) == 5
        world.apply("x")
        await trio.sleep(1)
        for _ in range(300):
            await trio.sleep(0.01)
            assert not any(map(world.owner, upstreams[:3]))
            assert not world.current["a"].view.owned
            assert not world.current["d"].view.owned
        for process in world.current.values():
            assert process.view.configuration_version == 2
            assert names(process) == {"b", "c", "e"}
            held = process.view.holders("s", SNAPSHOT, 0)
            assert {item.announcement.upstream for item in held} == {"y0", "z0"}
        assert world.owner("x0") is None
        world.apply()
        await trio.sleep(2)
        assert world.owner("x0") is not None
        assert names(world.current["d"]) == {"a", "b", "c", "d", "e"}

    simulate(scenario)


@pytest.mark.parametrize("how", ["leaving", "expired"])
def test_upstream_that_goes_gets_no_work(how: str) -> None:
    # Guards against work for an upstream that leaves or no longer announces itself.
    async def scenario(world: World) -> None:
        said = announcement("x0", ttl_ms=2000)
        (owner,) = await settle(world, said)
        if how == "leaving":
            leaving = replace(said, state=UpstreamState.LEAVING)
            world.current["e"].client.announce(leaving)
            assert not world.current["e"].view.holders("s", SNAPSHOT, 0)
            # A refresh from before, by way of another instance, changes nothing.
            world.current["b"].client.announce(said)
        world.silent_upstreams.add("x0")
        await trio.sleep(0.5 if how == "leaving" else 3.5)
        assert not owner.view.owned
        for process in world.current.values():
            assert not process.view.holders("s", SNAPSHOT, 0)

    simulate(scenario)


def test_announcement_reaches_every_instance_and_the_owner() -> None:
    # Guards against a restarted upstream that its owner does not hear of.
    async def scenario(world: World) -> None:
        (owner,) = await settle(world, announcement("x0"))
        other = next(item for item in world.current.values() if item is not owner)
        newer = announcement("x0", incarnation=2, address="127.0.0.1:9")
        world.announced["x0"] = newer
        other.client.announce(newer)
        await trio.sleep(0.1)
        assert owner.announcements[-1] == newer
        for process in world.current.values():
            assert process.view.upstreams["x0"].announcement == newer

    simulate(scenario)


@pytest.mark.parametrize("voters", ["a:x* b:x c:x", "a:x* b:x* c:x* d:x"])
def test_leader_change_expires_no_announcement(voters: str) -> None:
    # Guards against a leader that counts announcements as expired which instances
    # could not report while there was none, here because one is reached late.
    async def scenario(world: World) -> None:
        said = announcement("x0", ttl_ms=1100)
        await settle(world, said)
        world.silent_upstreams.add("x0")
        world.freeze("a")
        for step in range(1000):
            await trio.sleep(0.01)
            assert world.current["b"].view.upstreams
            if step % 50 == 0:
                world.current["c"].client.announce(said)
            if step == 200:
                world.thaw("a")
                world.cut_off("c")
            if step == 350:
                world.cuts.clear()

    simulate(scenario, instances=voters)


def test_placement_and_slow_moves() -> None:
    # Guards against replicas of one shard on one instance, owners far away, and a
    # joining instance that takes over many upstreams at once.
    async def scenario(world: World) -> None:
        world.start("f").scope.cancel()
        said = [announcement(f"x{i}", service=f"s{i // 2}") for i in range(16)]
        owners = await settle(world, *said)
        assert {owner.info.instance for owner in owners} == {"a", "d"}
        assert all(a is not b for a, b in zip(owners[::2], owners[1::2], strict=True))
        f = world.start("f")
        sizes = []
        for _ in range(60):
            await trio.sleep(0.2)
            sizes.append(len(f.view.owned))
        assert all(b - a <= 2 for a, b in pairwise(sizes))
        assert max(sizes[:5]) <= 2
        assert sizes[-1] in (5, 6)
        assert sizes[-1] == sizes[-10]
        for process in world.current.values():
            services = [int(name[1:]) // 2 for name in process.view.owned]
            assert len(services) == len(set(services))

    simulate(scenario, instances="a:x* b:y* c:z* d:x e:y f:x")


def test_silent_voter_costs_one_timeout() -> None:
    # Guards against an instance that loses its lease by waiting for a silent voter.
    async def scenario(world: World) -> None:
        await settle(world)
        world.cut_off("d", ["a"])
        world.polls.clear()
        for _ in range(180):
            await trio.sleep(0.01)
            assert world.current["d"].view.lease.is_valid(1500)
        assert world.polls.count(("d", "a")) <= 2
        await trio.sleep(60)
        assert world.polls.count(("d", "a")) <= 7
        assert world.current["d"].view.lease.is_valid(2000)

    simulate(scenario)


def test_in_force_waits_for_acknowledgement_or_lease() -> None:
    # Guards against an apply that is reported while an instance works under the
    # former configuration, and against one that waits for a lost instance for ever.
    async def scenario(world: World) -> None:
        await settle(world)
        coordinator = world.coordinators[world.leader]
        world.apply("y")
        assert (await coordinator.wait_in_force(2, 1000)).everywhere
        world.freeze("d")
        world.apply()
        await trio.sleep(0.5)
        state = coordinator.in_force(3)
        assert (state.everywhere, state.pending) == (False, ("d",))
        assert state.acknowledged == ("a", "b", "c", "e")
        assert (await coordinator.wait_in_force(3, 5000)).everywhere
        assert not world.current["d"].view.lease.is_valid()

    simulate(scenario)


def test_unreadable_configuration_ends_the_lease() -> None:
    # Guards against work under a configuration that is no longer in force.
    async def scenario(world: World) -> None:
        (owner,) = await settle(world, announcement("x0"))
        valid = world.committed[1]
        for voter in world.voters.values():
            voter.version, voter.text = 2, "not TOML"
        world.committed = (2, "not TOML")
        await trio.sleep(LEASE_MS / 1000 + 0.1)
        assert not owner.view.lease.is_valid()
        assert not owner.view.owned
        world.committed = (3, valid)
        await trio.sleep(2)
        assert world.owner("x0") is not None

    simulate(scenario)


def test_frequent_announcements_keep_the_lease() -> None:
    # Guards against a poll that is cut short each time before its reply arrives.
    async def scenario(world: World) -> None:
        await settle(world, announcement("x0"))
        client = world.current["d"].client
        for number in range(2, 5000):
            world.announced["x0"] = announcement("x0", incarnation=number)
            client.announce(world.announced["x0"])
            await trio.sleep(0.0005)
        assert client.view.lease.is_valid(2000)

    simulate(scenario)


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"incarnation": 0}, "incarnation above 1"),
        ({"service": "t"}, "service 't'"),
        ({"address": "127.0.0.1:1"}, "address '127.0.0.1:1'"),
        ({"data_centre": "y"}, "data_centre 'y'"),
        ({"incarnation": 2, "service": "t"}, None),
        ({"load": 0.5, "state": UpstreamState.COLD}, None),
    ],
)
def test_check_announcement(changes: dict[str, object], problem: str | None) -> None:
    # Guards against two processes under one name, of which one gets the other's work.
    known = announcement("x0")
    if problem is None:
        check_announcement(replace(known, **changes), known)  # type: ignore[arg-type]
        return
    with pytest.raises(InvalidRequestError, match=problem):
        check_announcement(replace(known, **changes), known)  # type: ignore[arg-type]


def test_replies_of_the_past_give_nothing() -> None:
    # Guards against a grant that was given up and is taken up again, and against one
    # of a leader that another one has replaced.
    async def scenario(world: World) -> None:
        (owner,) = await settle(world, announcement("x0"))
        grant = owner.view.owned["x0"]
        taken: list[OwnedUpstream] = []
        transport = owner.client._transport

        async def poll(
            instance: str, request: PollRequest, timeout_ms: float
        ) -> PollReply:
            reply = await carry(instance, request, timeout_ms)
            return replace(reply, owned=tuple(taken), term=reply.term + step)

        carry, step = transport.poll, 0
        transport.poll = poll  # type: ignore[method-assign]
        await trio.sleep(1)
        assert not owner.view.owned
        taken.append(grant)
        await trio.sleep(1)
        assert not owner.view.owned
        taken[:] = [replace(grant, grant_id=grant.grant_id << 8)]
        step = -1
        await trio.sleep(1)
        assert not owner.view.owned

    simulate(scenario)
