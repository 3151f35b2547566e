"""The ``dragonflyshelf`` command."""

import asyncio
import pathlib
import sys

import defopt

import dragonflyshelf
from dragonflyshelf.cli import operators
from dragonflyshelf.codec import ini
from dragonflyshelf.codec import reference
from dragonflyshelf.core import errors
from dragonflyshelf.core import settings
from dragonflyshelf.runtime import logs
from dragonflyshelf.runtime import server

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_CUT = 3


def read_settings(path: pathlib.Path) -> settings.Settings:
    """Return the settings of a file, or exit with its mistakes."""
    try:
        return ini.parse(str(path), path.read_text(encoding="utf-8"))
    except ini.BadSettingsFile as error:
        for mistake in error.mistakes:
            print(f"{error.code} {mistake}", file=sys.stderr)
    except (OSError, UnicodeDecodeError) as error:
        print(f"{errors.BadSettings.code} {error}", file=sys.stderr)
    raise SystemExit(EXIT_USAGE)


def check(path: pathlib.Path) -> None:
    """Check a settings file and name every mistake.

    :param path: the INI file
    """
    read_settings(path)
    print(f"{path}: ok")


def serve(path: pathlib.Path) -> None:
    """Run one instance until a signal ends it.

    :param path: the INI file
    """
    config = read_settings(path)
    logs.configure(config)
    try:
        cut = asyncio.run(server.async_main(config))
    except OSError as error:
        raise errors.CannotListen(str(error)) from error
    if cut.requests:
        raise SystemExit(EXIT_CUT)


def show_settings(*, ini_file: bool = False) -> None:
    """Print every option with its default and its range.

    :param ini_file: print an INI file in place of a page
    """
    text = reference.example() if ini_file else reference.settings_page()
    print(text, end="")


def version() -> None:
    """Print the version."""
    print(dragonflyshelf.__version__)


def main() -> None:
    """Run the command line."""
    try:
        defopt.run(
            {
                "check": check,
                "serve": serve,
                "settings": show_settings,
                "version": version,
                **{one.__name__: one for one in operators.COMMANDS},
            }
        )
    except errors.RouterError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_FAILURE) from error
