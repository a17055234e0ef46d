"""HTTP client of the operator command."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import httpcore
import orjson
from cuminbend.exceptions import CuminbendError

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 10.0


class UnreachableError(CuminbendError):
    """Raised if no instance answered."""


class RefusedError(CuminbendError):
    """Raised if an instance refused the request.

    Attributes:
        document: The problem document.
    """

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document
        super().__init__(str(document.get("detail", document)))


@dataclass(frozen=True)
class Reply:
    """A JSON document and the instance address that sent it."""

    address: str
    document: Any


class InstanceClient:
    """HTTP client that tries the instances in order until one answers.

    A request whose answer is lost is sent again to the next instance. That is safe:
    applies and submits carry an id by which a repetition is recognized, a drain is
    given one address only, and all other requests only read.
    """

    def __init__(self, *, addresses: Sequence[str]) -> None:
        self._addresses = addresses

    def request(
        self,
        method: str,
        path: str,
        *,
        content: bytes = b"",
        headers: dict[str, str] | None = None,
        try_next_when_unavailable: bool = False,
    ) -> Reply:
        """Send a request and return the reply.

        Args:
            method: HTTP method.
            path: Path with its query.
            content: Body.
            headers: Further headers.
            try_next_when_unavailable: Whether to try the next instance when one
                answers with status 503.

        Raises:
            UnreachableError: If no instance answered.
            RefusedError: If an instance answered with a problem document (status 400 or
                higher).
        """
        refusal: RefusedError | None = None
        for address in self._addresses:
            try:
                status, body = _send_request(
                    address, method, path, content, headers or {}
                )
            except (httpcore.NetworkError, httpcore.TimeoutException):
                continue
            except httpcore.ProtocolError:
                continue
            document = orjson.loads(body) if body else {}
            if status < 400:
                return Reply(address, document)
            refusal = RefusedError(document)
            if status != 503 or not try_next_when_unavailable:
                raise refusal
        if refusal is not None:
            raise refusal
        raise UnreachableError(
            f"no instance answered at {', '.join(self._addresses)}; check --address "
            "and that the instances run"
        )


def _send_request(
    address: str, method: str, path: str, content: bytes, headers: dict[str, str]
) -> tuple[int, bytes]:
    timeout = {"connect": CONNECT_TIMEOUT_S, "read": READ_TIMEOUT_S}
    response = httpcore.request(
        method,
        f"http://{address}{path}",
        content=content,
        headers=[*headers.items(), ("content-type", "application/json")],
        extensions={"timeout": timeout},
    )
    return response.status, response.content
