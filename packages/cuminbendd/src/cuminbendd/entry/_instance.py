"""Wiring of an entry instance: callers, upstreams and the feed of the control group."""

import asyncio
import json
import logging
from collections.abc import Callable
from http import HTTPStatus

from cuminbend.crashes import CrashSuspects, Verdict
from cuminbend.directory import EntryCandidate
from cuminbend.exceptions import ConfigurationError
from cuminbend.forwarding import (
    CallerLimits,
    RecoveryEstimate,
    RetryBudgets,
    RoutingTable,
)
from cuminbend.ports import Clock

from cuminbendd.channel import parse_address
from cuminbendd.entry._applied import AppliedRecord
from cuminbendd.entry._crash_watch import CrashWatch
from cuminbendd.entry._delegation import Peers
from cuminbendd.entry._fanout import FanOutRequest
from cuminbendd.entry._forwarding import ForwardingContext, rejection_response
from cuminbendd.entry._header_names import HeaderNames
from cuminbendd.entry._helper import Helper
from cuminbendd.entry._known_controls import KnownControls
from cuminbendd.entry._settings import EntrySettings
from cuminbendd.entry._single import SingleRequest
from cuminbendd.entry._upstreams import UpstreamDirectory
from cuminbendd.feed import EntryInfo, FeedClient, Hello, Status, Update
from cuminbendd.http1 import HttpRequest, HttpResponse, HttpServer, Responder
from cuminbendd.logs import log_task_failure
from cuminbendd.metrics import Metrics

logger = logging.getLogger(__name__)

_PERIODIC_CHECK_INTERVAL_MS = 100.0
# A timer is late by the time for which other work occupies the processor. Twenty
# requests to shards take about 5 ms, so a mean lag of more than twice that shows that
# requests queue up.
_BUSY_LAG_MS = 10.0
# Weight of a new sample in the moving average of the lag.
_LAG_SAMPLE_WEIGHT = 0.1
# Interval of the checks whether a stopping instance has finished its work.
_STOP_POLL_S = 0.02
_HELPER_RETRY_S = 1.0

ConfigurationDecoder = Callable[[bytes], RoutingTable]


class EntryInstance:
    """Forwards requests of callers to upstreams.

    Args:
        settings: Settings of the instance.
        clock: Source of time.
        header_names: Header names.
        decode: Decodes the content of a stored configuration.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        clock: Clock,
        header_names: HeaderNames,
        decode: ConfigurationDecoder,
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._decode = decode
        self.metrics = Metrics(gauges=self._gauges)
        self._recovery = RecoveryEstimate(settings=settings.recovery, clock=clock)
        self._suspects = CrashSuspects(settings=settings.crashes, clock=clock)
        self._crash_watch = CrashWatch(
            suspects=self._suspects, report=lambda: self._feed.notify()
        )
        self._upstreams = UpstreamDirectory(
            settings=settings,
            recovery=self._recovery,
            clock=clock,
            header_names=header_names,
            metrics=self.metrics,
            crash_watch=self._crash_watch,
        )
        self._retry_budgets = RetryBudgets(settings=settings.retries, clock=clock)
        self._peers = Peers(own_instance=settings.instance, clock=clock)
        self._context = ForwardingContext(
            settings=settings,
            header_names=header_names,
            upstreams=self._upstreams,
            retry_budgets=self._retry_budgets,
            peers=self._peers if settings.helper_address else None,
            metrics=self.metrics,
        )
        self._helper = Helper(self._context)
        self._controls = KnownControls(
            seeds=settings.control_addresses, own_data_centre=settings.data_centre
        )
        self._feed = FeedClient(
            sink=self,
            clock=clock,
            candidates=self._controls.candidates,
            find_preferred=self._controls.find_preferred,
        )
        self._entries: tuple[EntryInfo, ...] = ()
        self._is_stopping = False
        self._lag_ms = 0.0
        self._last_update_ms = clock.monotonic_ms()
        self._applied = AppliedRecord(clock=clock)
        self.server = HttpServer(
            handler=self.handle,
            clock=clock,
            limits=self._caller_limits,
            body_memory_bytes=settings.request_memory_bytes,
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether the instance should get new callers."""
        return self._context.table is not None and not self._is_stopping

    @property
    def version(self) -> int:
        """Version of the configuration in force here, 0 before the first one."""
        table = self._context.table
        return table.version if table else 0

    def _caller_limits(self) -> CallerLimits:
        table = self._context.table
        return table.limits if table else CallerLimits()

    # Running

    async def start(self) -> None:
        """Listen for callers and other instances, and start to read the feed.

        If the address for other instances is in use, they do without this one until
        it is free.

        Raises:
            OSError: If the address for callers is in use.
        """
        host, port = parse_address(self.settings.caller_address)
        await self.server.start(host, port)
        self._tasks = [
            asyncio.ensure_future(self._feed.run()),
            asyncio.ensure_future(self._run_periodic_checks()),
        ]
        if not await self._start_helper():
            self._tasks.append(asyncio.ensure_future(self._start_helper_later()))
        for task in self._tasks:
            task.add_done_callback(log_task_failure)
        logger.info(
            "event=started instance=%s role=entry address=%s",
            self.settings.instance,
            self.settings.caller_address,
        )

    async def _start_helper(self) -> bool:
        """Listen for other instances; return whether the address was free."""
        address = self.settings.helper_address
        try:
            if address:
                await self._helper.start(address)
        except OSError as error:
            logger.error(
                "event=listener_unavailable listener=helper address=%s error='%s' "
                "remedy='free the address; it is tried again'",
                address,
                error,
            )
            return False
        return True

    async def _start_helper_later(self) -> None:
        while True:
            await asyncio.sleep(_HELPER_RETRY_S)
            if await self._start_helper():
                return

    async def stop(self) -> None:
        """Leave the directory, finish the requests in flight, and close.

        Callers that still use an older list of addresses are served until that list
        has expired. A request that comes too late to end within ``stop_ms`` is refused
        at once; one that is still in flight then is answered with a failure.
        """
        logger.info("event=stopping instance=%s", self.settings.instance)
        self._is_stopping = True
        self.server.drain()
        self._feed.notify()
        settings = self.settings
        stop_at_ms = self._clock.monotonic_ms() + settings.stop_ms
        self._context.stop_at_ms = stop_at_ms
        await asyncio.sleep(settings.drain_ms / 1000)
        self.server.close_idle_connections()
        while self.server.busy_connection_count or self._helper.open_task_count:
            if self._clock.monotonic_ms() > stop_at_ms:
                break
            await asyncio.sleep(_STOP_POLL_S)
        logger.info(
            "event=stopped instance=%s unfinished=%d",
            settings.instance,
            self.server.busy_connection_count,
        )
        self.server.end_requests(HttpResponse(HTTPStatus.GATEWAY_TIMEOUT, []))
        self.close()

    def close(self) -> None:
        """Close all connections and cancel all tasks at once."""
        for task in self._tasks:
            task.cancel()
        self.server.close()
        self._helper.close()
        self._peers.close()
        self._crash_watch.close()
        self._upstreams.close()

    async def _run_periodic_checks(self) -> None:
        while True:
            due_ms = self._clock.monotonic_ms() + _PERIODIC_CHECK_INTERVAL_MS
            await asyncio.sleep(_PERIODIC_CHECK_INTERVAL_MS / 1000)
            late_ms = self._clock.monotonic_ms() - due_ms
            self._lag_ms += _LAG_SAMPLE_WEIGHT * (late_ms - self._lag_ms)
            self._upstreams.close_silent_connections()
            self._upstreams.remove_unconfirmed_upstreams()
            self._peers.reconnect()

    # Requests

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Forward a request, or reject it without a configuration or a route."""
        context = self._context
        table = context.table
        if table is None:
            logger.info(
                "event=request_ended request=%s outcome=no_configuration status=503 %s",
                (request.header(context.header_names.request_id) or b"").decode(
                    "latin-1"
                ),
                self._describe_configuration(),
            )
            responder.respond(
                rejection_response(
                    capacity_wait_ms=self._recovery.no_configuration_wait_ms()
                )
            )
            return
        route = table.find_route(request.host, request.path)
        if route is None:
            logger.info(
                "event=request_ended request=%s outcome=no_route status=404 host=%s "
                "path=%s %s",
                (request.header(context.header_names.request_id) or b"").decode(
                    "latin-1"
                ),
                request.host,
                request.path,
                self._describe_configuration(),
            )
            responder.respond(HttpResponse(HTTPStatus.NOT_FOUND, []))
            return
        if not route.services:
            logger.info(
                "event=request_ended request=%s route=%s outcome=route_disabled "
                "status=503 %s",
                (request.header(context.header_names.request_id) or b"").decode(
                    "latin-1"
                ),
                context.route_state(route).label,
                self._describe_configuration(),
            )
            responder.respond(rejection_response(capacity_wait_ms=0.0))
            return
        if not context.can_end_before_stop(route):
            logger.info(
                "event=request_ended request=%s route=%s outcome=stopping status=503",
                (request.header(context.header_names.request_id) or b"").decode(
                    "latin-1"
                ),
                context.route_state(route).label,
            )
            responder.respond(rejection_response(capacity_wait_ms=0.0))
            return
        request_class = FanOutRequest if route.shards else SingleRequest
        request_class(
            context=context, route=route, request=request, responder=responder
        ).start()

    def _describe_configuration(self) -> str:
        """Return where the configuration comes from, as fields of a log line."""
        return (
            f"version={self.version} {self._applied.describe()} "
            f"control={self._feed.source} "
            f"news_age_ms={self._clock.monotonic_ms() - self._last_update_ms:.0f}"
        )

    def _gauges(self) -> dict[str, float]:
        applied = self._applied.report()
        return {
            **self._upstreams.gauges(),
            "configuration_version": self.version,
            "configuration_age_ms": applied.age_ms,
            "configuration_offered_version": self._applied.offered_version,
            "configuration_refused_version": applied.refused_version,
            "caller_connections": len(self.server.connections),
            "callers_waiting": self.server.busy_connection_count,
            "helper_tasks": self._helper.open_task_count,
            "control_joined": float(self._feed.source is not None),
            "news_age_ms": self._clock.monotonic_ms() - self._last_update_ms,
            "loop_lag_ms": self._lag_ms,
            "requests_quarantined": len(
                self._suspects.fingerprints(Verdict.QUARANTINED)
            ),
            "requests_suspect": len(self._suspects.fingerprints(Verdict.SUSPECT)),
            "retry_tokens_least": self._retry_budgets.fewest_tokens(),
        }

    def directory(self) -> tuple[list[EntryCandidate], dict[str, int]]:
        """Return the data from which directory requests are answered.

        Returns:
            The entry instances in the directory, and the number of services with a
            ready upstream by data centre.
        """
        candidates = [
            EntryCandidate(
                entry.address, entry.data_centre, entry.is_busy, entry.is_active
            )
            for entry in self._entries
            if entry.instance != self.settings.instance or self.is_ready
        ]
        return candidates, self._upstreams.ready_service_counts()

    def dump(self) -> bytes:
        """Return the state for operators, as JSON."""
        return json.dumps(
            {
                "instance": self.settings.instance,
                "version": self.version,
                "configuration": self._applied.dump(),
                "control": self._feed.source,
                "news_age_ms": round(self._clock.monotonic_ms() - self._last_update_ms),
                "is_ready": self.is_ready,
                "quarantined": self._suspects.fingerprints(Verdict.QUARANTINED),
                "suspects": self._suspects.fingerprints(Verdict.SUSPECT),
                **self._upstreams.dump(),
            }
        ).encode()

    # Feed of the control group

    def hello(self) -> Hello:
        """Return the first message to a control instance."""
        settings = self.settings
        return Hello(
            instance=settings.instance,
            data_centre=settings.data_centre,
            entry=EntryInfo(
                instance=settings.instance,
                address=settings.caller_address,
                data_centre=settings.data_centre,
                helper_address=settings.helper_address,
            ),
            control=None,
            version=self.version,
        )

    def status(self) -> Status:
        """Return the next heartbeat for the control instance."""
        return Status(
            is_available=self.is_ready,
            is_busy=self._lag_ms > _BUSY_LAG_MS,
            is_active=self._upstreams.is_active,
            version=self.version,
            crash_report=self._suspects.report(),
            statements=self._upstreams.report_statements(),
            applied=self._applied.report(),
        )

    def on_update(self, source: str, update: Update) -> None:
        """Apply an update of the feed.

        An update that is not current contains no other state than the control
        instances, and how long these have received heartbeats.
        """
        if update.controls is not None:
            self._controls.set_known(update.controls, is_current=update.is_current)
        if update.collected_ms is not None:
            self._recovery.record_collected(update.collected_ms)
        if not update.is_current:
            return
        self._last_update_ms = self._clock.monotonic_ms()
        self._upstreams.record_news()
        if update.crash_histories or update.is_full:
            self._suspects.merge(update.crash_histories, is_full=update.is_full)
            self._upstreams.merge_reported_ends(
                crash.process
                for history in update.crash_histories
                for crash in history.crashes
            )
        self._applied.record_offer(update.version)
        if update.content is not None:
            self._set_configuration(update.content, version=update.version)
        if update.evacuated is not None:
            evacuated = frozenset(update.evacuated)
            if evacuated != self._upstreams.evacuated:
                logger.info("event=evacuated data_centres=%s", sorted(evacuated))
            self._upstreams.set_evacuated(evacuated)
        if update.entries is not None:
            previous, self._entries = (
                _data_centres_by_instance(self._entries),
                update.entries,
            )
            self._peers.set_entries(update.entries)
            # Most changes are busy flags, and the limits depend only on which instances
            # there are.
            if _data_centres_by_instance(update.entries) != previous:
                self._divide_limits()
        if update.registrations or update.is_full:
            self._upstreams.merge_registrations(
                update.registrations, is_full=update.is_full
            )
        if update.statements or update.is_full:
            self._upstreams.merge_statements(update.statements, is_full=update.is_full)

    def on_source_lost(self, source: str) -> None:
        """Keep the present state until another control instance is found."""

    def _divide_limits(self) -> None:
        """Divide connections and retry budgets among the entry instances."""
        was_active = self._upstreams.is_active
        self._upstreams.set_entries(_data_centres_by_instance(self._entries))
        self._retry_budgets.set_instance_count(self._upstreams.sharing_instance_count)
        if self._upstreams.is_active != was_active:
            logger.info(
                "event=entry_%s entries=%d",
                "active" if self._upstreams.is_active else "standing_by",
                len(self._entries),
            )
            self._feed.notify()

    def _set_configuration(self, content: bytes, *, version: int) -> None:
        try:
            table = self._decode(content)
        except Exception as error:
            # Any other error would end the stream before the rest of the update is
            # applied, with each sender again.
            if not isinstance(error, ConfigurationError):
                logger.exception("event=decoding_failed version=%d", version)
            self._applied.record_refusal(version, str(error) or repr(error))
            logger.error(
                "event=configuration_unreadable %s error='%s'",
                self._describe_configuration(),
                error,
            )
            self._feed.notify()
            return
        if table.version <= self.version:
            return
        logger.info(
            "event=configuration_in_force version=%d former=%d routes=%d",
            table.version,
            self.version,
            len(table.routes),
        )
        self._applied.record_applied(table.version)
        if table.problems:
            logger.error(
                "event=configuration_in_part version=%d error='%s'",
                table.version,
                "; ".join(table.problems),
            )
            self._applied.record_refusal(table.version, "; ".join(table.problems))
        self._context.set_table(table)
        self._upstreams.set_table(table)
        self._divide_limits()
        self._feed.notify()


def _data_centres_by_instance(entries: tuple[EntryInfo, ...]) -> dict[str, str]:
    return {entry.instance: entry.data_centre for entry in entries}
