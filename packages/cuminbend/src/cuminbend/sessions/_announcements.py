"""Checks and comparisons of announcements."""

from dataclasses import replace

from cuminbend.exceptions import InvalidRequestError
from cuminbend.messages import Announcement, UpstreamState

__all__ = ["check_announcement", "differs", "is_superseded"]


def check_announcement(new: Announcement, known: Announcement | None) -> None:
    """Check an announcement against an earlier one of the same upstream.

    Raises:
        InvalidRequestError: If the two contradict each other.
    """
    if known is None or new.incarnation > known.incarnation:
        return
    if new.incarnation < known.incarnation:
        raise InvalidRequestError(
            f"upstream {new.upstream!r} announces incarnation {new.incarnation}, but "
            f"{known.incarnation} is known; stop the older process, or start this one "
            f"with an incarnation above {known.incarnation}"
        )
    for name in ("service", "address", "data_centre"):
        old_value, new_value = getattr(known, name), getattr(new, name)
        if old_value != new_value:
            raise InvalidRequestError(
                f"upstream {new.upstream!r} announces {name} {new_value!r}, but "
                f"incarnation {new.incarnation} was announced with {old_value!r}; give "
                "each process its own upstream name, or raise the incarnation with "
                "each restart"
            )


def is_superseded(new: Announcement, known: Announcement | None) -> bool:
    """Return whether ``known`` makes ``new`` obsolete.

    An upstream that leaves stays so for its incarnation: a refresh from before may
    arrive later by way of another instance.
    """
    if known is None or new.incarnation > known.incarnation:
        return False
    return new.incarnation < known.incarnation or (
        known.state is UpstreamState.LEAVING and new.state is not UpstreamState.LEAVING
    )


def differs(new: Announcement, known: Announcement | None, load_step: float) -> bool:
    """Return whether other instances have to learn about ``new``.

    Small changes of the load are left out, because each version of the registry goes
    to every instance.
    """
    if known is None or abs(new.load - known.load) >= load_step:
        return True
    return replace(new, load=known.load) != known
