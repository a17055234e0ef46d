"""Choice of the upstream of a submit."""

from collections.abc import Collection, Mapping

from cuminbend.messages import UpstreamRecord, UpstreamState
from cuminbend.submit._base import ClusterView

__all__ = ["choose_upstream"]


def choose_upstream(
    view: ClusterView,
    service: str,
    *,
    in_flight: Mapping[str, int],
    tried: Collection[str] = (),
) -> UpstreamRecord | None:
    """Return the upstream to send a submit to, or None if there is none.

    Candidates are ready, have an owner and stand in a data centre in service. The one
    with the fewest submits of this instance in flight is chosen, then one in the local
    data centre, then the first by name.
    """
    configuration = view.configuration
    if configuration is None:
        return None
    in_service = configuration.data_centres_in_service

    def rank(record: UpstreamRecord) -> tuple[int, bool, str]:
        upstream = record.announcement.upstream
        remote = record.announcement.data_centre != view.local_data_centre
        return (in_flight.get(upstream, 0), remote, upstream)

    candidates = (
        record
        for name, record in view.upstreams.items()
        if name not in tried
        and record.owner is not None
        and record.announcement.service == service
        and record.announcement.state is UpstreamState.READY
        and record.announcement.data_centre in in_service
    )
    return min(candidates, key=rank, default=None)
