"""A request crashes the searchers that run it; they start again under their ids."""

import asyncio
import sys
import time
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

ROUTES = [("r-a", "/a/", "alpha")]
CRASH_TARGET = "/a/crash"
SENDS_CRASH_REQUEST = TROUBLE != "0"
# "The searcher is back after some seconds."
DOWN_S = 2.0
# "A heartbeat may arrive seconds late."
LATE_S = 0.0 if TROUBLE == "punctual" else 2.0
LASTS_S = 40.0
ALLOWED_RETRIES = 3


class CrashingSearcher(Searcher):
    """Ends when it begins to run the request, and is back under its id."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.crashes = []
        self._restart = None

    async def _answer(self, line, headers, body):
        expected = headers.get("x-expect-instance", self.id)
        if line.split(" ")[1] == CRASH_TARGET and expected == self.id:
            now_s = time.monotonic()
            request_id = headers.get("x-request-id", "")
            self.crashes.append((now_s, request_id))
            self.system.record(f"searcher {self.id} crashes at {request_id}")
            self.stop()
            self._restart = asyncio.ensure_future(self._come_back())
            raise OSError
        return await super()._answer(line, headers, body)

    async def _come_back(self):
        await asyncio.sleep(DOWN_S)
        await self.start(beats=False)
        await asyncio.sleep(LATE_S)
        if self._server.is_serving():
            self._task = asyncio.ensure_future(self._beat_loop())

    def end(self):
        if self._restart is not None:
            self._restart.cancel()
        self.stop()


async def case(system, searchers):
    operator = Operator(system)
    for item in (*system.controls, *system.entries):
        system.start(item)
    for zone in ("z-a", "z-b"):
        searchers.append(CrashingSearcher(system, "alpha", zone))
        await searchers[-1].start()
    if await operator.put(configuration(1, ROUTES, ["alpha"])) is None:
        raise CannotRun("the first configuration was not acknowledged")
    clients = Clients(system, "/a/", 10)
    clients.start()
    await wait_served(clients)
    await asyncio.sleep(2 * CONTACT_S)
    start_s = time.monotonic()
    while SENDS_CRASH_REQUEST and time.monotonic() < start_s + LASTS_S:
        # The same path and body again, at any machine.
        await clients.send(CRASH_TARGET)
        await asyncio.sleep(0.5)
    if not SENDS_CRASH_REQUEST:
        await asyncio.sleep(10.0)
    await clients.stop()
    for searcher in searchers:
        searcher.end()
    crashes = sorted(item for searcher in searchers for item in searcher.crashes)
    third_s = crashes[2][0] if len(crashes) > 2 else float("inf")
    late = {
        request_id
        for _, request_id in crashes
        if clients.sent[request_id] > third_s + CONTACT_S
    }
    system.record(
        f"crashes: {len(crashes)}; requests that reached a searcher, sent later than "
        f"contactMs after the third crash: {len(late)}, allowed {ALLOWED_RETRIES}; "
        f"share of other requests served: "
        f"{clients.served_share(start_s, start_s + LASTS_S):.2f}"
    )
    if len(late) > ALLOWED_RETRIES:
        raise Broken(
            f"the request crashed {len(crashes)} processes; {len(late)} retries later "
            "than contactMs after the third crash reached searchers"
        )


run_case(FOLDER, case, controls=3, entries=2)
