"""Choice among the weighted services of a route."""

from cuminbend.forwarding._routes import WeightedService


class WeightedRoundRobin:
    """Smooth weighted round robin.

    Any sequence of choices is as close to the weights as whole requests allow. A random
    choice would deviate from the weights over a few hundred requests.

    Args:
        backends: Services with their weights; the sum of the weights is above 0.
        offset: Share of a round, 0 to 1, by which the sequence of this instance is
            shifted, so that instances do not all start with the same service.
    """

    def __init__(
        self, backends: tuple[WeightedService, ...], *, offset: float = 0.0
    ) -> None:
        self._backends = tuple(backend for backend in backends if backend.weight > 0)
        self._total_weight = sum(backend.weight for backend in self._backends)
        self._current_weights = [backend.weight * offset for backend in self._backends]

    def next_service(self) -> str:
        """Return the name of the service that gets the next request."""
        best_index = 0
        for index, backend in enumerate(self._backends):
            self._current_weights[index] += backend.weight
            if self._current_weights[index] > self._current_weights[best_index]:
                best_index = index
        self._current_weights[best_index] -= self._total_weight
        return self._backends[best_index].service
