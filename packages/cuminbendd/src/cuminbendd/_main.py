"""The ``cuminbendd`` command."""

import signal
import sys
from pathlib import Path
from typing import Annotated

import anyio
import cyclopts
from cuminbend.exceptions import CuminbendError

from cuminbendd._instance import Instance
from cuminbendd._logs import configure_logging
from cuminbendd.settings import InstanceSettings, load_settings

app = cyclopts.App(
    name="cuminbendd",
    help="Run one instance of the cuminbend query tier.",
)

EXIT_FAILURE = 1
EXIT_BAD_SETTINGS = 2


@app.default
def run(
    settings: Annotated[
        Path, cyclopts.Parameter(help="TOML settings file of this instance.")
    ],
    *,
    check: Annotated[
        bool, cyclopts.Parameter(help="Validate the settings file and exit.")
    ] = False,
) -> int:
    """Run an instance until SIGTERM or SIGINT asks for a planned stop."""
    try:
        loaded = load_settings(settings)
    except CuminbendError as error:
        print(f"cuminbendd: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check:
        print(f"{settings}: valid settings of instance {loaded.instance}")
        return 0
    configure_logging(loaded.instance, loaded.log_level)
    try:
        anyio.run(_serve, loaded, backend="asyncio")
    except BaseExceptionGroup as group:
        return _report_errors(group)
    except CuminbendError as error:
        print(f"cuminbendd: {error}", file=sys.stderr)
        return EXIT_FAILURE
    return 0


async def _serve(settings: InstanceSettings) -> None:
    instance = Instance(settings=settings)
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, instance)
        await instance.run()
        group.cancel_scope.cancel()


async def _stop_on_signal(instance: Instance) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            instance.stop()


def _report_errors(group: BaseExceptionGroup[BaseException]) -> int:
    """Print the errors of this project and return the exit status.

    A group with any other exceptions is raised again, so that their traceback is shown.
    """
    expected, unexpected = group.split(CuminbendError)
    if expected is not None:
        for error in _leaf_errors(expected):
            print(f"cuminbendd: {error}", file=sys.stderr)
    if unexpected is not None:
        raise unexpected
    return EXIT_FAILURE


def _leaf_errors(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    """Return the exceptions of a group and of all groups nested in it."""
    leaf_errors: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            leaf_errors += _leaf_errors(error)
        else:
            leaf_errors.append(error)
    return leaf_errors


def main() -> None:
    """Entry point of the binary."""
    sys.exit(app(result_action="return_value"))
