"""Tests with random sequences of faults."""

import pytest
import trio

from cuminbend.sessions.tests._simulation import (
    SessionSimulation,
    make_announcement,
    run_scenario,
)

UPSTREAMS = [
    make_announcement(f"{data_centre}{number}", data_centre)
    for data_centre in "xyz"
    for number in range(4)
]


@pytest.mark.parametrize("seed", range(12))
def test_no_two_owners_under_random_faults(seed: int) -> None:
    # Guards against two instances that send work to one upstream, and against work in a
    # data centre out of service, after any sequence of disconnections, pauses,
    # restarts, leader changes, releases and lost replies. check_invariants() asserts
    # both throughout.
    async def scenario(simulation: SessionSimulation) -> None:
        rng = simulation.random
        simulation.should_drop = lambda *_: rng.random() < 0.05
        for announcement in UPSTREAMS:
            simulation.announce(announcement)
        names = list(simulation.clocks)
        await trio.sleep(8)
        for _ in range(40):
            name = rng.choice(names)
            match rng.randrange(8):
                case 0:
                    simulation.disconnect(name)
                case 1:
                    simulation.disconnect(name, rng.sample(names, 2))
                case 2:
                    simulation.pause(name)
                case 3:
                    simulation.start(name)
                case 4:
                    simulation.pause(simulation.leader)
                case 5:
                    simulation.disconnect(simulation.leader)
                case 6:
                    simulation.current_processes[name].client.start_draining()
                case 7:
                    simulation.apply_configuration(*rng.sample("xyz", rng.randrange(2)))
            await trio.sleep(rng.uniform(0.05, 3))
            if rng.random() < 0.5:
                simulation.cut_links.clear()
                simulation.resume(rng.choice(names))
        await recover(simulation)
        for announcement in UPSTREAMS:
            assert simulation.owner(announcement.upstream) is not None, (
                f"{announcement.upstream} has no owner after the recovery"
            )

    run_scenario(scenario, seed=seed)


async def recover(simulation: SessionSimulation) -> None:
    simulation.cut_links.clear()
    simulation.should_drop = lambda *_: False
    for name in simulation.clocks:
        simulation.resume(name)
        simulation.start(name)
    simulation.apply_configuration()
    await trio.sleep(20)
