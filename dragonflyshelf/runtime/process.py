"""Process of an instance: settings, logs, event loop, exit status."""

import asyncio
import pathlib
import sys
from typing import Final

from dragonflyshelf.codec import ini
from dragonflyshelf.core import errors
from dragonflyshelf.core import settings
from dragonflyshelf.runtime.gateway import server
from dragonflyshelf.runtime import logs
from dragonflyshelf.runtime import loops
from dragonflyshelf.runtime import reload

EXIT_FAILURE: Final = 1
"""A command failed with a router error."""

EXIT_USAGE: Final = 2
"""The settings file is invalid."""

EXIT_CUT: Final = 3
"""The shutdown cut requests that were still open."""


def load_settings_or_exit(path: pathlib.Path) -> settings.Settings:
    """Return the settings of a file, or print its problems and exit."""
    try:
        return reload.load_settings(path)
    except ini.InvalidSettingsFile as error:
        for problem in error.problems:
            print(f"{error.code} {problem}", file=sys.stderr)
    raise SystemExit(EXIT_USAGE)


def serve(path: pathlib.Path) -> None:
    """Run an instance with the settings of a file until a signal stops it.

    Raises ``BindFailed``; exits with ``EXIT_CUT`` if requests were cut.
    """
    config = load_settings_or_exit(path)
    logs.configure(config)
    try:
        with asyncio.Runner(loop_factory=loops.BoottimeEventLoop) as runner:
            cut = runner.run(server.async_main(config, path))
    except OSError as error:
        raise errors.BindFailed(str(error)) from error
    if cut.requests:
        raise SystemExit(EXIT_CUT)
