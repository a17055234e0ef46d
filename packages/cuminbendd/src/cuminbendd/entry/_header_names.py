"""Names of the headers through which callers, entry and upstreams speak.

The product knows what a header means; an adapter says what it is called.
"""

from dataclasses import dataclass

from cuminbendd.http1 import ResponseHeaderNames


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header names in lower case.

    Attributes:
        request_id: Identity of a request, forwarded and echoed.
        deadline: Time left for a request, in whole ms.
        expected_upstream: Identity of the upstream that a request is meant for; any
            other one rejects it.
        stamp: Signature of an upstream's response.
        not_run: Present on a rejection by an upstream that did not run the request.
        load: Requests running, requests waiting and slots of an upstream.
        part_stamps: Signatures of the parts of a merged answer.
        missing_parts: Number of shards that a merged answer lacks.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"x-deadline-ms"
    expected_upstream: bytes = b"x-expected-upstream"
    stamp: bytes = b"x-stamp"
    not_run: bytes = b"x-not-run"
    load: bytes = b"x-load"
    part_stamps: bytes = b"x-part-stamps"
    missing_parts: bytes = b"x-missing-parts"

    @property
    def response_header_names(self) -> ResponseHeaderNames:
        """Headers that a connection to an upstream looks at."""
        return ResponseHeaderNames(request_id=self.request_id)
