"""Two routes of a configuration have the same name and different prefixes."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from harness import (  # noqa: E402
    CONTACT_S,
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

SERVICES = ["alpha", "beta"]


async def case(system, searchers):
    operator = Operator(system)
    for item in (*system.controls, *system.entries):
        system.start(item)
    for service in SERVICES:
        searchers.append(Searcher(system, service, "z-a"))
        await searchers[-1].start()
    first = [("r-a", "/a/", "alpha")]
    if await operator.put(configuration(1, first, SERVICES)) is None:
        raise CannotRun("the first configuration was not acknowledged")
    clients = Clients(system, "/a/", 20)
    clients.start()
    await wait_served(clients)
    await asyncio.sleep(CONTACT_S)
    # The route is split: what is below /a/b/ goes to another service.
    name = "r-a" if TROUBLE != "0" else "r-b"
    routes = [*first, (name, "/a/b/", "beta")]
    if await operator.put(configuration(4, routes, SERVICES)) is None:
        raise CannotRun("the second configuration was not acknowledged")
    await asyncio.sleep(CONTACT_S)
    for number in range(20):
        await clients.send(f"/a/b/{number}")
        await asyncio.sleep(0.05)
    await clients.stop()
    wrong = [
        (searcher.service, arrival["target"])
        for searcher in searchers
        for arrival in searcher.arrivals
        if arrival["ran"]
        and searcher.service
        != ("beta" if arrival["target"].startswith("/a/b/") else "alpha")
    ]
    system.record(f"requests that another service ran than its route names: {len(wrong)}")
    if wrong:
        service, target = wrong[0]
        raise Broken(
            f"{len(wrong)} requests were run by a service to which no configuration "
            f"allowed them to go, such as {target} by {service}"
        )


run_case(FOLDER, case, controls=3, entries=2)
