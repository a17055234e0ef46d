"""Tests of an entry instance that receives updates of the control group."""

from dataclasses import replace

from cuminbendd.entry.tests._harness import EntryHarness, FakeUpstream, run
from cuminbendd.feed import EntryInfo, Update

ENTRIES = tuple(
    EntryInfo(instance=f"e{number}", address=f"x:{number}", data_centre="a")
    for number in range(1, 4)
)


def test_busy_flag_does_not_divide_limits_again() -> None:
    """Guards against work for every upstream each time an instance becomes busy."""

    async def test() -> None:
        async with EntryHarness(FakeUpstream("u", "s")) as harness:
            upstreams, recorded_calls = harness.entry._upstreams, []
            set_entries = upstreams.set_entries

            def record_call(data_centres: dict[str, str]) -> None:
                recorded_calls.append(dict(data_centres))
                set_entries(data_centres)

            upstreams.set_entries = record_call  # type: ignore[assignment, method-assign]
            busy_entries = (replace(ENTRIES[0], is_busy=True), *ENTRIES[1:])
            for entries in (ENTRIES, busy_entries, ENTRIES, ENTRIES[:2]):
                harness.entry.on_update("c", Update(is_current=True, entries=entries))
            assert [sorted(data_centres) for data_centres in recorded_calls] == [
                ["e1", "e2", "e3"],
                ["e1", "e2"],
            ]
            candidates, _ = harness.entry.directory()
            assert len(candidates) == 2

    run(test)
