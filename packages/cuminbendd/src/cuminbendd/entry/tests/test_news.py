"""Tests of what an entry instance does with news of the control group."""

from dataclasses import replace

from cuminbendd.entry.tests._world import FakeUpstream, World, run
from cuminbendd.feed import EntryInfo, Update

ENTRIES = tuple(
    EntryInfo(instance=f"e{number}", address=f"x:{number}", data_centre="a")
    for number in range(1, 4)
)


def test_busy_mark_divides_no_limits_anew() -> None:
    """Guards against work for every upstream whenever any instance is busy."""

    async def test() -> None:
        async with World(FakeUpstream("u", "s")) as world:
            upstreams, calls = world.entry._upstreams, []
            divide = upstreams.set_entries

            def counted(places: dict[str, str]) -> None:
                calls.append(dict(places))
                divide(places)

            upstreams.set_entries = counted  # type: ignore[assignment, method-assign]
            busy = (replace(ENTRIES[0], is_busy=True), *ENTRIES[1:])
            for entries in (ENTRIES, busy, ENTRIES, ENTRIES[:2]):
                world.entry.on_update("c", Update(is_current=True, entries=entries))
            assert [sorted(places) for places in calls] == [
                ["e1", "e2", "e3"],
                ["e1", "e2"],
            ]
            places, _ = world.entry.directory()
            assert len(places) == 2

    run(test)
