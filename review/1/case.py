"""Two core machines are replaced in turn; later one machine loses its disk."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from harness import (  # noqa: E402
    ACK_S,
    CATCH_UP_S,
    CONTACT_S,
    RECOVERY_S,
    TROUBLE,
    Broken,
    CannotRun,
    Clients,
    Operator,
    Searcher,
    configuration,
    run_case,
    wait_served,
)

MARGIN_S = 1.0
ROUTES = [("r-a", "/a/", "alpha")]
REPLACES = TROUBLE in ("1", "replace")
LOSES_DISK = TROUBLE in ("1", "disk")


async def replace(system, old):
    """Replace a machine as planned: the new one first, then SIGTERM of the old one."""
    new = system.add_control(old.zone)
    system.start(new)
    # The new machine counts as lost for catchUpS after its start, the old one not.
    await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    system.signal(old, signal.SIGTERM)
    await system.wait_ended(old)
    system.seeds = system.live_controls()


async def case(system, searchers):
    operator = Operator(system)
    for item in (*system.controls, *system.entries):
        system.start(item)
    for zone in ("z-a", "z-b"):
        searchers.append(Searcher(system, "alpha", zone))
        await searchers[-1].start()
    if await operator.put(configuration(1, ROUTES, ["alpha"])) is None:
        raise CannotRun("the first configuration was not acknowledged")
    clients = Clients(system, "/a/", 10)
    clients.start()
    await wait_served(clients)
    await asyncio.sleep(CONTACT_S)
    first, second, third = system.controls
    if REPLACES:
        await replace(system, first)
        await replace(system, second)
    # Far longer than contactMs and catchUpS: nothing is lost and nothing happens.
    await asyncio.sleep(10.0)
    acknowledged_s = await operator.put(configuration(7, ROUTES, ["alpha"]))
    if acknowledged_s is None:
        raise CannotRun("version 7 was not acknowledged before the loss")
    if LOSES_DISK:
        system.kill(third)
        await system.wait_ended(third)
        system.wipe(third)
        await asyncio.sleep(1.0)
        system.start(third)
    back_s = time.monotonic()
    # A valid change is to be acknowledged; it is sent until the end of the wait.
    change = asyncio.ensure_future(
        operator.put(
            configuration(9, ROUTES, ["alpha"]), timeout_s=RECOVERY_S + CONTACT_S
        )
    )
    await asyncio.sleep(RECOVERY_S + CONTACT_S - (time.monotonic() - back_s))
    versions = []
    reads_until_s = time.monotonic() + 2 * CONTACT_S
    while time.monotonic() < reads_until_s:
        for address in system.live_controls():
            versions.append(await operator.read(address))
        await asyncio.sleep(0.5)
    changed_s = await change
    await clients.stop()
    good = [version for version in versions if version is not None]
    system.record(
        f"{len(versions)} reads over {2 * CONTACT_S:.0f} s, {len(good)} answered; "
        f"version 9 acknowledged: {changed_s is not None} (ackMs {ACK_S * 1000:.0f})"
    )
    if not good:
        raise Broken(
            f"version 7 was acknowledged, but none of {len(versions)} reads at the end "
            "got a configuration"
        )
    if min(good) < 7:
        raise Broken(f"a read named version {min(good)} after 7 was acknowledged")


run_case(FOLDER, case, controls=3, entries=2)
