"""Choice among the weighted services of a route."""

from cuminbend.forwarding._routes import WeightedService


class WeightedRoundRobin:
    """Smooth weighted round robin.

    Any run of choices is as close to the weights as whole requests allow, which a
    random choice is not over a few hundred requests.

    Args:
        backends: Services with their weights; the sum is above 0.
        offset: Share of a round, 0 to 1, by which this instance starts later, so
            that many instances do not all begin with the same service.
    """

    def __init__(
        self, backends: tuple[WeightedService, ...], *, offset: float = 0.0
    ) -> None:
        self._backends = tuple(item for item in backends if item.weight > 0)
        self._total = sum(item.weight for item in self._backends)
        self._current = [item.weight * offset for item in self._backends]

    def next_service(self) -> str:
        """Return the service of the next request."""
        best = 0
        for index, item in enumerate(self._backends):
            self._current[index] += item.weight
            if self._current[index] > self._current[best]:
                best = index
        self._current[best] -= self._total
        return self._backends[best].service
