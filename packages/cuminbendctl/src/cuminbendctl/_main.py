"""The ``cuminbendctl`` command."""

import getpass
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any

import cyclopts
import orjson
import uuid6
from cuminbend.config import parse_configuration
from cuminbend.exceptions import ConfigurationError, CuminbendError

from cuminbendctl._client import InstanceClient, RefusedError, UnreachableError
from cuminbendctl._explain import RequestHistory
from cuminbendctl._log_report import write_report
from cuminbendctl._logs import find_lines, read_logs, spool_pipes
from cuminbendctl._render import render_document, report_rows

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_IN_FORCE = 5

STATUS_CONFLICT = 409
POLL_INTERVAL_S = 0.1

app = cyclopts.App(
    name="cuminbendctl",
    help=(
        "Operate a cuminbend query tier.\n\n"
        "Exit codes: 0 done, 1 refused, 2 wrong usage or invalid file, 3 conflict with "
        "another change, 4 no instance reachable, 5 accepted but not yet in force "
        "everywhere."
    ),
)

Address = Annotated[
    Sequence[str],
    cyclopts.Parameter(
        name="--address",
        help="Caller address of an instance, as ip:port; repeat to name several.",
        env_var="CUMINBEND_ADDRESS",
    ),
]
Json = Annotated[
    bool, cyclopts.Parameter(name="--json", negative=(), help="Print JSON.")
]


@app.command
def validate(file: Path, *, json: Json = False) -> int:
    """Check an operator file without applying it."""
    configuration = parse_configuration(_read_file(file))
    _print_document(
        {
            "valid": True,
            "cluster": configuration.cluster,
            "members": len(configuration.members),
            "services": len(configuration.services),
        },
        json,
    )
    return 0


@app.command
def apply(
    file: Path,
    *,
    address: Address,
    base_version: int | None = None,
    apply_id: str | None = None,
    wait_s: float = 15.0,
    json: Json = False,
) -> int:
    """Put an operator file in force as a whole.

    Args:
        file: Operator file.
        base_version: Version that the file was based on; the one in force if absent.
        apply_id: Id of this apply. Give the one that was printed to resend an apply
            whose answer was lost.
        wait_s: How long to wait until the file is in force everywhere.
    """
    text = _read_file(file)
    parse_configuration(text)
    client = InstanceClient(addresses=address)
    if base_version is None:
        current = client.request("GET", "/v1/configuration").document
        base_version = int(current["version"])
    apply_id = apply_id or str(uuid6.uuid7())
    print(f"apply id {apply_id}, based on version {base_version}", file=sys.stderr)
    body = {
        "apply_id": apply_id,
        "base_version": base_version,
        "operator": getpass.getuser(),
        "text": text,
    }
    result = client.request(
        "POST",
        "/v1/configuration",
        content=orjson.dumps(body),
        try_next_when_unavailable=True,
    ).document
    in_force = _wait_until_in_force(client, int(result["version"]), wait_s)
    _print_document({**result, "apply_id": apply_id, "in_force": in_force}, json)
    return 0 if in_force else EXIT_NOT_IN_FORCE


def _wait_until_in_force(client: InstanceClient, version: int, wait_s: float) -> bool:
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s:
        document = client.request("GET", "/v1/configuration").document
        if int(document["in_force_version"]) >= version:
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


@app.command
def status(*, address: Address, json: Json = False) -> int:
    """Show leader, configuration version, instances and upstreams."""
    document = InstanceClient(addresses=address).request("GET", "/v1/status").document
    _print_document(document, json)
    return 0


@app.command
def history(*, address: Address, json: Json = False) -> int:
    """Show which configurations were accepted."""
    client = InstanceClient(addresses=address)
    reply = client.request(
        "GET", "/v1/configuration/history", try_next_when_unavailable=True
    )
    _print_document(reply.document, json)
    return 0


@app.command
def drain(*, address: Address, json: Json = False) -> int:
    """Ask one instance for a planned stop."""
    client = InstanceClient(addresses=address[:1])
    _print_document(client.request("POST", "/v1/drain").document, json)
    return 0


@app.command
def dump(*, address: Address) -> int:
    """Print the state that one instance holds, as JSON."""
    client = InstanceClient(addresses=address[:1])
    _print_document(client.request("GET", "/v1/dump").document, as_json=True)
    return 0


@app.command
def explain(request_id: str, *logs: Path) -> int:
    """Print the events of one request from log files, in time order.

    Args:
        request_id: Identity of the request, as its caller knows it.
        logs: Log files of any number of instances, compressed if the name ends in
            ``.gz``; ``/dev/stdin`` is standard input.
    """
    paths = spool_pipes(_require_logs(logs))
    history = RequestHistory(request_id, find_lines(paths, request_id))
    context, problems = read_logs(paths, history.is_context)
    _print_problems(problems)
    if not history.lines:
        print(
            f"cuminbendctl: no line names the request {request_id!r}; name the log "
            "files of all entry instances",
            file=sys.stderr,
        )
        return EXIT_REFUSED
    print("\n".join(history.describe(context)))
    return 0


def _require_logs(logs: tuple[Path, ...]) -> tuple[Path, ...]:
    if not logs:
        raise ConfigurationError(["name one log file or more"])
    return logs


def _print_problems(problems: list[str]) -> None:
    for problem in problems:
        print(f"cuminbendctl: {problem}", file=sys.stderr)


@app.command
def report(
    *logs: Path, out: Path | None = None, address: Address = (), json: Json = False
) -> int:
    """Show counts and latencies, of one instance or of log files.

    Args:
        logs: Log files to plot over time; without any, the counts per member of the
            instance at ``--address``.
        out: Folder for the page with the plots.
    """
    if logs or out is not None:
        lines, problems = read_logs(spool_pipes(_require_logs(logs)))
        _print_problems(problems)
        print(write_report(lines, out or Path()))
        return 0
    if not address:
        raise ConfigurationError(["name log files, or an instance with --address"])
    client = InstanceClient(addresses=address[:1])
    document = client.request("GET", "/v1/report").document
    _print_document(document if json else {"accounts": report_rows(document)}, json)
    return 0


@app.command
def query(
    target: str,
    body: str = "{}",
    *,
    address: Address,
    member: str,
    deadline_ms: int | None = None,
    json: Json = False,
) -> int:
    """Search a service or a group of services.

    Args:
        target: Service or group.
        body: JSON body that the searchers get.
        member: Member on whose behalf to search.
        deadline_ms: Deadline; the member's default if absent.
    """
    headers = _caller_headers(member, deadline_ms)
    reply = InstanceClient(addresses=address).request(
        "POST",
        f"/v1/search/{target}",
        content=body.encode(),
        headers=headers,
        try_next_when_unavailable=True,
    )
    _print_document(reply.document, json)
    return 0


@app.command
def submit(
    service: str,
    body: str = "{}",
    *,
    address: Address,
    member: str,
    key: str | None = None,
    deadline_ms: int | None = None,
    json: Json = False,
) -> int:
    """Send a request that may not run more than once.

    Args:
        service: Service that takes submits.
        body: JSON body that the upstream gets.
        member: Member on whose behalf to submit.
        key: Idempotency key, a UUIDv7. Give the one that was printed to send a
            request again whose answer was lost.
        deadline_ms: Deadline; the member's default if absent.
    """
    key = key or str(uuid6.uuid7())
    print(f"idempotency key {key}", file=sys.stderr)
    headers = {**_caller_headers(member, deadline_ms), "idempotency-key": key}
    reply = InstanceClient(addresses=address).request(
        "POST", f"/v1/submit/{service}", content=body.encode(), headers=headers
    )
    _print_document({**reply.document, "key": key}, json)
    return 0


def _caller_headers(member: str, deadline_ms: int | None) -> dict[str, str]:
    headers = {"x-member": member}
    if deadline_ms is not None:
        headers["x-deadline-ms"] = str(deadline_ms)
    return headers


def _read_file(file: Path) -> str:
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError([f"{file}: cannot be read ({error})"]) from error


def _print_document(document: Any, as_json: bool) -> None:
    if as_json:
        print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
    else:
        print(render_document(document))


def run(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code.

    Args:
        arguments: Command line without the program name; that of the process if absent.
    """
    try:
        return int(app(arguments, result_action="return_value") or 0)
    except ConfigurationError as error:
        for problem in error.problems:
            print(f"cuminbendctl: {problem}", file=sys.stderr)
        return EXIT_USAGE
    except RefusedError as error:
        return _report_refusal(error)
    except UnreachableError as error:
        print(f"cuminbendctl: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    except CuminbendError as error:
        print(f"cuminbendctl: {error}", file=sys.stderr)
        return EXIT_REFUSED


def _report_refusal(error: RefusedError) -> int:
    document = error.document
    for problem in document.get("problems") or [document.get("detail", document)]:
        print(f"cuminbendctl: {problem}", file=sys.stderr)
    if "run_state" in document:
        print(
            f"cuminbendctl: run state {document['run_state']}, retry after "
            f"{document.get('retry_after_ms')} ms",
            file=sys.stderr,
        )
    if document.get("status") == STATUS_CONFLICT:
        return EXIT_CONFLICT
    return EXIT_REFUSED


def main() -> None:
    """Run the command and exit with its code; entry point of the console script."""
    sys.exit(run())
