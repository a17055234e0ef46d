"""Seeded random schedules of faults."""

import pytest
import trio

from cuminbend.sessions.tests._world import World, announcement, simulate

UPSTREAMS = [
    announcement(f"{data_centre}{number}", data_centre)
    for data_centre in "xyz"
    for number in range(4)
]


@pytest.mark.parametrize("seed", range(12))
def test_no_two_owners_under_random_faults(seed: int) -> None:
    # Guards against any sequence of cuts, freezes, restarts, leader changes, releases
    # and lost replies after which two instances send work to one upstream, or one in
    # a data centre that is out; World.check() asserts both all the time.
    async def scenario(world: World) -> None:
        choose = world.random
        world.drop = lambda *_: choose.random() < 0.05
        for said in UPSTREAMS:
            world.announce(said)
        names = list(world.clocks)
        await trio.sleep(8)
        for _ in range(40):
            name = choose.choice(names)
            match choose.randrange(8):
                case 0:
                    world.cut_off(name)
                case 1:
                    world.cut_off(name, choose.sample(names, 2))
                case 2:
                    world.freeze(name)
                case 3:
                    world.start(name)
                case 4:
                    world.freeze(world.leader)
                case 5:
                    world.cut_off(world.leader)
                case 6:
                    world.current[name].client.start_draining()
                case 7:
                    world.apply(*choose.sample("xyz", choose.randrange(2)))
            await trio.sleep(choose.uniform(0.05, 3))
            if choose.random() < 0.5:
                world.cuts.clear()
                world.thaw(choose.choice(names))
        await heal(world)
        for said in UPSTREAMS:
            assert world.owner(said.upstream) is not None, said.upstream

    simulate(scenario, seed=seed)


async def heal(world: World) -> None:
    world.cuts.clear()
    world.drop = lambda *_: False
    for name in world.clocks:
        world.thaw(name)
        world.start(name)
    world.apply()
    await trio.sleep(20)
