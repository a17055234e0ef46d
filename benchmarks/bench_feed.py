"""How large are the messages of the feed?"""

from dataclasses import replace

from cuminbend.registry import Registration, UpstreamState
from cuminbendd.channel import Codec
from cuminbendd.feed import EntryInfo, Update

from benchmarks._base import Row

QUESTION = "feed"
_UPSTREAM_COUNTS = (270, 17_000)
_ENTRY_COUNTS = (73, 2_700)


def _registrations(count: int) -> tuple[Registration, ...]:
    return tuple(
        Registration(
            upstream=f"i-{number * 2654435761 % 2**40:010x}",
            service=f"search-{number // 3:04}",
            address=f"10.{number % 3}.{number // 250}.{number % 250}:8080",
            data_centre="abc"[number % 3],
            slots=2,
            state=UpstreamState.READY,
            cold_left_ms=0.0,
            incarnation_ms=1_780_000_000_000 + number * 7919 % 5000,
            sequence=number % 97,
            holder=f"10.{number % 3}.0.1:7380",
        )
        for number in range(count)
    )


def _entries(count: int) -> tuple[EntryInfo, ...]:
    return tuple(
        EntryInfo(
            instance=f"entry-{number}",
            address=f"10.{number % 7}.{number // 250}.{number % 250}:8104",
            data_centre=f"dc-{number % 7}",
            helper_address=f"10.{number % 7}.{number // 250}.{number % 250}:7380",
            is_active=True,
        )
        for number in range(count)
    )


def run() -> list[Row]:
    """Return the frame sizes of full lists and of single changes."""
    codec = Codec((Update,))
    rows = []
    for count in _UPSTREAM_COUNTS:
        full = Update(
            is_current=True, is_full=True, registrations=_registrations(count)
        )
        frame_bytes = len(codec.encode(0, full))
        rows.append(Row(QUESTION, f"{count} upstreams, frame bytes", frame_bytes))
    for count in _ENTRY_COUNTS:
        entries = _entries(count)
        full = Update(is_current=True, entries=entries)
        change = Update(is_current=True, entries=(replace(entries[0], is_busy=True),))
        full_bytes = len(codec.encode(0, full))
        change_bytes = len(codec.encode(0, change))
        rows += [
            Row(QUESTION, f"{count} entry instances, frame bytes", full_bytes),
            Row(
                QUESTION,
                f"one change among {count}, frame bytes",
                change_bytes,
                bar="<= 512",
                met=change_bytes <= 512,
            ),
        ]
    return rows
