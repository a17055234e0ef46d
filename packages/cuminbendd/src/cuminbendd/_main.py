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
        return _report(group)
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


def _report(group: BaseExceptionGroup[BaseException]) -> int:
    known, other = group.split(CuminbendError)
    if known is not None:
        for error in _leaves(known):
            print(f"cuminbendd: {error}", file=sys.stderr)
    if other is not None:
        raise other
    return EXIT_FAILURE


def _leaves(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    leaves: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            leaves += _leaves(error)
        else:
            leaves.append(error)
    return leaves


def main() -> None:
    """Entry point of the binary."""
    sys.exit(app(result_action="return_value"))
