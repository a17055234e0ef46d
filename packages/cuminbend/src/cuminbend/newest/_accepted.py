"""Identities of the configurations that the group has confirmed."""

from collections import OrderedDict
from collections.abc import Iterable

# A change is sent again within seconds of its first confirmation. This many cover more
# than an hour of changes at 9,500 a day.
_MAX_IDENTITIES = 512


class AcceptedConfigurations:
    """Remembers which contents were confirmed, so that they are not judged again.

    An operator whose acknowledgement was lost sends the same content again. The release
    that receives it may have stricter checks than the one that confirmed it.
    """

    def __init__(self) -> None:
        self._identities: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, identity: str) -> bool:
        """Return whether the content with this identity was confirmed."""
        return identity in self._identities

    def record(self, identity: str) -> None:
        """Record a confirmed content; the oldest ones are dropped."""
        self._identities[identity] = None
        self._identities.move_to_end(identity)
        while len(self._identities) > _MAX_IDENTITIES:
            self._identities.popitem(last=False)

    def replace_all(self, identities: Iterable[str]) -> None:
        """Replace all identities, oldest first."""
        self._identities.clear()
        for identity in identities:
            self.record(identity)

    def identities(self) -> list[str]:
        """Return all identities, oldest first."""
        return list(self._identities)
