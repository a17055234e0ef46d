"""A withdrawal that a frozen control process still holds undoes a later evacuation."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from harness import (  # noqa: E402
    CONTACT_S,
    EVACUATE_S,
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

ROUTES = [("r-a", "/a/", "alpha")]
ZONE = "z-a"
PATH = f"/cuminbend/evacuate/{ZONE}"
FREEZE_S = 4.0
MARGIN_S = 1.0


async def case(system, searchers):
    operator = Operator(system)
    for item in (*system.controls, *system.entries):
        system.start(item)
    for zone in (ZONE, "z-b"):
        searchers.append(Searcher(system, "alpha", zone))
        await searchers[-1].start()
    if await operator.put(configuration(1, ROUTES, ["alpha"])) is None:
        raise CannotRun("the first configuration was not acknowledged")
    clients = Clients(system, "/a/", 25)
    clients.start()
    await wait_served(clients)
    await asyncio.sleep(CONTACT_S)
    if await operator.order("POST", PATH) is None:
        raise CannotRun("the first evacuation was not acknowledged")
    await asyncio.sleep(EVACUATE_S + 1.0)
    leader = await system.leader()
    if leader is None:
        raise CannotRun("no control process leads")
    frozen, other = (item for item in system.controls if item is not leader)
    frozen_address = system.control_address(frozen)
    other_address = system.control_address(other)
    frozen_s = time.monotonic()
    if TROUBLE != "0":
        system.signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(0.1)
    # The operator picks among the nodes, and moves on after a second without answer.
    withdrawn_s = await operator.order(
        "DELETE", PATH, first=(frozen_address, other_address)
    )
    if withdrawn_s is None:
        raise CannotRun("the withdrawal was not acknowledged")
    await asyncio.sleep(0.3)
    evacuated_s = await operator.order("POST", PATH, first=(other_address,))
    if evacuated_s is None:
        raise CannotRun("the second evacuation was not acknowledged")
    await asyncio.sleep(frozen_s + FREEZE_S - time.monotonic())
    if TROUBLE != "0":
        system.signal(frozen, signal.SIGCONT)
    thawed_s = time.monotonic()
    counted_from_s = max(evacuated_s + EVACUATE_S, thawed_s + CONTACT_S) + MARGIN_S
    await asyncio.sleep(counted_from_s + 8.0 - time.monotonic())
    await clients.stop()
    late = [
        arrival
        for searcher in searchers
        if searcher.zone == ZONE
        for arrival in searcher.arrivals
        if arrival["ran"] and clients.sent[arrival["id"]] > counted_from_s
    ]
    system.record(
        f"requests sent by clients from {counted_from_s - evacuated_s:.1f} s after the "
        f"acknowledgement of the second evacuation on that reached searchers of "
        f"{ZONE}: {len(late)}; share served: "
        f"{clients.served_share(counted_from_s):.2f}"
    )
    if late:
        raise Broken(
            f"{len(late)} requests reached searchers of {ZONE}, whose evacuation was "
            "acknowledged and not taken back"
        )


run_case(FOLDER, case, controls=3, entries=2)
