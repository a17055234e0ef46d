"""A searcher departs, and all control processes are killed right after the answer."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from harness import (  # noqa: E402
    CONTACT_S,
    DRAIN_S,
    TROUBLE,
    Broken,
    CannotRun,
    Clients,
    Operator,
    Searcher,
    call,
    configuration,
    run_case,
    wait_served,
)

ROUTES = [("r-a", "/a/", "alpha")]
# "back within a second": the time of a start comes on top, and the sum is checked.
DOWN_S = 0.4
BACK_WITHIN_S = 1.0
# The searcher serves for drainMs after the acknowledgement and many seconds longer.
SERVES_S = DRAIN_S + 11.0
# Added to contactMs, for the time from the start of a process until it listens.
MARGIN_S = 1.0


async def case(system, searchers):
    operator = Operator(system)
    for item in (*system.controls, *system.entries):
        system.start(item)
    for zone in ("z-a", "z-b"):
        searchers.append(Searcher(system, "alpha", zone))
        await searchers[-1].start()
    if await operator.put(configuration(1, ROUTES, ["alpha"])) is None:
        raise CannotRun("the first configuration was not acknowledged")
    clients = Clients(system, "/a/", 25)
    clients.start()
    await wait_served(clients)
    await asyncio.sleep(2 * CONTACT_S)
    leaving = searchers[0]
    # It sends DELETE first and nothing after the acknowledgement.
    leaving.stop_beats()
    acknowledged_s = await leaving.depart()
    system.record(f"searcher {leaving.id}: DELETE acknowledged")
    stable_from_s = 0.0
    if TROUBLE != "0":
        killed_s = time.monotonic()
        for item in system.controls:
            system.kill(item)
        for item in system.controls:
            await system.wait_ended(item)
        await asyncio.sleep(DOWN_S)
        for item in system.controls:
            system.start(item)
        for item in system.controls:
            while await call(system.control_address(item), "GET", "/x") is None:
                await asyncio.sleep(0.02)
        down_s = time.monotonic() - killed_s
        system.record(f"all control processes listen again {down_s:.2f} s after")
        if down_s > BACK_WITHIN_S:
            raise CannotRun("the control processes were not back within a second")
        stable_from_s = time.monotonic() + CONTACT_S + MARGIN_S
    await asyncio.sleep(acknowledged_s + SERVES_S - time.monotonic())
    leaving.stop()
    await clients.stop()
    counted_from_s = max(acknowledged_s + DRAIN_S, stable_from_s)
    late = [
        arrival
        for arrival in leaving.arrivals
        if arrival["ran"] and clients.sent[arrival["id"]] > counted_from_s
    ]
    served = clients.served_share(counted_from_s, acknowledged_s + SERVES_S - 1)
    system.record(
        f"requests sent by clients later than drainMs after the acknowledgement, and "
        f"contactMs after the last start of a control process, that reached "
        f"{leaving.id}: {len(late)}; share served in that time: {served:.2f}"
    )
    if late:
        last_s = max(arrival["at_s"] for arrival in late) - acknowledged_s
        raise Broken(
            f"{len(late)} requests reached {leaving.id} up to {last_s:.1f} s after its "
            "DELETE was acknowledged"
        )


run_case(FOLDER, case, controls=3, entries=2)
