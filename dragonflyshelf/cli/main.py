"""The ``dragonflyshelf`` command."""

import pathlib
import sys

import defopt

import dragonflyshelf
from dragonflyshelf.cli import check_configuration
from dragonflyshelf.cli import explain
from dragonflyshelf.codec import settings_reference
from dragonflyshelf.core import errors
from dragonflyshelf.runtime import process


def check(path: pathlib.Path) -> None:
    """Check a settings file and print all problems.

    :param path: INI file
    """
    process.load_settings_or_exit(path)
    print(f"{path}: ok")


def serve(path: pathlib.Path) -> None:
    """Run an instance until a signal stops it.

    :param path: INI file
    """
    process.serve(path)


def show_settings(*, ini_file: bool = False) -> None:
    """Print all options with their defaults and ranges.

    :param ini_file: print an INI file instead of a page
    """
    text = (
        settings_reference.render_example()
        if ini_file
        else settings_reference.render_settings_page()
    )
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
                "check-config": check_configuration.check_configuration,
                "explain": explain.explain,
                "serve": serve,
                "settings": show_settings,
                "version": version,
            }
        )
    except errors.RouterError as error:
        print(error, file=sys.stderr)
        raise SystemExit(process.EXIT_FAILURE) from error
