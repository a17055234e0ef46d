"""Names of the headers that callers, entry instances and upstreams exchange.

This package defines what each header means; an adapter provides its name.
"""

from dataclasses import dataclass

from cuminbendd.http1 import ResponseHeaderNames


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Header names in lower case.

    Attributes:
        request_id: Id of a request, forwarded to upstreams and echoed by them.
        deadline: Time left for a request, in whole ms.
        expected_upstream: Id of the upstream that a request is meant for; any other
            upstream rejects the request.
        stamp: Signature of an upstream's response.
        not_run: Present on a rejection by an upstream that did not run the request.
        load: Running requests, waiting requests and slots of an upstream, separated by
            commas.
        limit: Requests a second that an upstream in need takes from all instances
            together, a decimal number; absent if it states no limit.
        leaving: Present on the answers of an upstream that is about to end.
        part_stamps: Signatures of the parts of a merged answer, separated by commas.
        missing_parts: Number of shards without a part in a merged answer; absent if
            there is none.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"x-deadline-ms"
    expected_upstream: bytes = b"x-expected-upstream"
    stamp: bytes = b"x-stamp"
    not_run: bytes = b"x-not-run"
    load: bytes = b"x-load"
    limit: bytes = b"x-limit"
    leaving: bytes = b"x-leaving"
    part_stamps: bytes = b"x-part-stamps"
    missing_parts: bytes = b"x-missing-parts"

    @property
    def statements(self) -> tuple[bytes, ...]:
        """Headers in which an upstream describes itself; callers do not get them."""
        return (self.load, self.limit, self.leaving)

    @property
    def response_header_names(self) -> ResponseHeaderNames:
        """Names of the headers that a connection to an upstream reads."""
        return ResponseHeaderNames(request_id=self.request_id)
