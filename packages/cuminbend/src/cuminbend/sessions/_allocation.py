"""Which instance gets an upstream."""

from collections import Counter
from collections.abc import Iterable
from hashlib import blake2b

from cuminbend.messages import Announcement
from cuminbend.sessions._tables import Entry, Session

__all__ = ["Placement", "connection_cap"]

# Replicas kept apart, then the same data centre, then few upstreams, then the hash.
Rank = tuple[int, int, int, bytes]


def connection_cap(limit: int, fraction: float) -> int:
    """Return the connections that one owner may have open."""
    return max(1, int(limit * fraction))


class Placement:
    """Counts over the grants of the sessions that may get upstreams."""

    def __init__(self, sessions: Iterable[Session], entries: dict[str, Entry]) -> None:
        self.sessions = list(sessions)
        self._by_data_centre: dict[str, list[Session]] = {}
        self._owned: Counter[Session] = Counter()
        self._shards: Counter[tuple[Session, object]] = Counter()
        for session in self.sessions:
            near = self._by_data_centre.setdefault(session.info.data_centre, [])
            near.append(session)
            for upstream in session.grants:
                self.add(session, entries[upstream])

    def add(self, session: Session, entry: Entry, step: int = 1) -> None:
        """Count a grant."""
        self._owned[session] += step
        for shard in entry.shards():
            self._shards[session, shard] += step

    def best(self, entry: Entry, said: Announcement) -> Session | None:
        """Return the session that should get an upstream nobody owns."""
        shards = entry.shards()
        near = [
            session
            for session in self._by_data_centre.get(said.data_centre, ())
            if not any(self._shards[session, shard] for shard in shards)
        ]
        # Any of these ranks before all others.
        return min(
            near or self.sessions,
            key=lambda session: self.rank(session, entry, said),
            default=None,
        )

    def rank(self, session: Session, entry: Entry, said: Announcement) -> Rank:
        """Return how well a session suits an upstream; the lowest suits best."""
        replicas = max(
            (self._shards[session, shard] for shard in entry.shards()), default=0
        )
        return (
            replicas,
            int(session.info.data_centre != said.data_centre),
            self._owned[session],
            _hash(session.info.instance, said.upstream),
        )

    def better(self, entry: Entry, said: Announcement, owner: Session) -> bool:
        """Return whether moving an upstream away from its owner is worth it."""
        if owner not in self.sessions:
            return False
        self.add(owner, entry, -1)
        current = self.rank(owner, entry, said)
        best = self.best(entry, said)
        target = self.rank(best, entry, said) if best is not None else current
        self.add(owner, entry)
        if target[:2] != current[:2]:
            return target[:2] < current[:2]
        # A difference of one would only move back and forth.
        return target[2] < current[2]


def _hash(instance: str, upstream: str) -> bytes:
    return blake2b(f"{instance}\0{upstream}".encode(), digest_size=8).digest()
