"""Choice among the weighted services of a route."""

from cuminbend.forwarding._routes import WeightedService

# Positions in its sequence at which an instance may start. The first choices of many
# instances differ from the weights by at most one in this many.
_START_POSITIONS = 64


class WeightedRoundRobin:
    """Smooth weighted round robin.

    Any sequence of choices is as close to the weights as whole requests allow. A random
    choice would deviate from the weights over a few hundred requests.

    Args:
        backends: Services with their weights; the sum of the weights is above 0.
        offset: Position, 0 to 1, at which the sequence of this instance starts. With
            random positions, the first choices of many instances follow the weights.
            The start of the sequence alone favours the greatest weight, which counts
            where an instance gets few requests before a change of the configuration.
    """

    def __init__(
        self, backends: tuple[WeightedService, ...], *, offset: float = 0.0
    ) -> None:
        self.backends = backends
        # The sum of weights near the greatest float would be infinite.
        greatest_weight = max(backend.weight for backend in backends)
        self._backends = tuple(
            WeightedService(backend.service, backend.weight / greatest_weight)
            for backend in backends
            if backend.weight > 0
        )
        self._total_weight = sum(backend.weight for backend in self._backends)
        self._current_weights = [0.0] * len(self._backends)
        if len(self._backends) > 1:
            for _ in range(int(offset * _START_POSITIONS)):
                self.next_service()

    def next_service(self) -> str:
        """Return the name of the service that gets the next request."""
        best_index = 0
        for index, backend in enumerate(self._backends):
            self._current_weights[index] += backend.weight
            if self._current_weights[index] > self._current_weights[best_index]:
                best_index = index
        self._current_weights[best_index] -= self._total_weight
        return self._backends[best_index].service
