"""Choice of the instance that owns an upstream."""

from collections import Counter
from collections.abc import Iterable
from hashlib import blake2b

from cuminbend.messages import Announcement
from cuminbend.sessions._tables import Session, UpstreamEntry

__all__ = ["Placement", "connection_cap"]

# In order of priority: few replicas of the same shard, same data centre, few owned
# upstreams, hash.
Rank = tuple[int, int, int, bytes]

_RANK_HASH_BYTES = 8


def connection_cap(limit: int, fraction: float) -> int:
    """Return the number of connections that one owner may have open; at least 1."""
    return max(1, int(limit * fraction))


class Placement:
    """Grants per session and shard; ranks the sessions that may own an upstream."""

    def __init__(
        self, sessions: Iterable[Session], entries: dict[str, UpstreamEntry]
    ) -> None:
        self.sessions = list(sessions)
        self._by_data_centre: dict[str, list[Session]] = {}
        self._owned: Counter[Session] = Counter()
        self._shards: Counter[tuple[Session, object]] = Counter()
        for session in self.sessions:
            local_sessions = self._by_data_centre.setdefault(
                session.info.data_centre, []
            )
            local_sessions.append(session)
            for upstream in session.grants:
                self.count_grant(session, entries[upstream])

    def count_grant(
        self, session: Session, entry: UpstreamEntry, step: int = 1
    ) -> None:
        """Add ``step`` to the counts for a grant; -1 removes the grant."""
        self._owned[session] += step
        for shard in entry.shards():
            self._shards[session, shard] += step

    def best_session(
        self, entry: UpstreamEntry, announcement: Announcement
    ) -> Session | None:
        """Return the session that should own an upstream, or None if there is none."""
        shards = entry.shards()
        local_sessions = [
            session
            for session in self._by_data_centre.get(announcement.data_centre, ())
            if not any(self._shards[session, shard] for shard in shards)
        ]
        # Each of these sessions ranks before all others.
        return min(
            local_sessions or self.sessions,
            key=lambda session: self.rank(session, entry, announcement),
            default=None,
        )

    def rank(
        self, session: Session, entry: UpstreamEntry, announcement: Announcement
    ) -> Rank:
        """Return the rank of a session for an upstream; the lowest is preferred."""
        replicas = max(
            (self._shards[session, shard] for shard in entry.shards()), default=0
        )
        return (
            replicas,
            int(session.info.data_centre != announcement.data_centre),
            self._owned[session],
            _rank_hash(session.info.instance, announcement.upstream),
        )

    def should_move(
        self, entry: UpstreamEntry, announcement: Announcement, owner: Session
    ) -> bool:
        """Return whether an upstream should move from its owner to another session."""
        if owner not in self.sessions:
            return False
        self.count_grant(owner, entry, -1)
        current = self.rank(owner, entry, announcement)
        best_session = self.best_session(entry, announcement)
        target = (
            self.rank(best_session, entry, announcement)
            if best_session is not None
            else current
        )
        self.count_grant(owner, entry)
        if target[:2] != current[:2]:
            return target[:2] < current[:2]
        # The rank of the owner excludes this upstream, so ownership counts that differ
        # by one do not cause a move; the upstream would move back and forth.
        return target[2] < current[2]


def _rank_hash(instance: str, upstream: str) -> bytes:
    return blake2b(
        f"{instance}\0{upstream}".encode(), digest_size=_RANK_HASH_BYTES
    ).digest()
