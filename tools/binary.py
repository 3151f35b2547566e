"""Build a single executable file with the program and its dependencies.

The dependencies are copied from the environment that runs this script,
so that the file contains exactly the versions that were tested.
"""

from importlib import metadata
import pathlib
import re
import shutil
import sys
import tempfile

import defopt
from shiv import cli

PACKAGE = "dragonflyshelf"
ENTRY_POINT = "dragonflyshelf.cli.main:main"
NAME = re.compile(r"[A-Za-z0-9._-]+")
EXTRA = "extra =="
SHEBANG = "/usr/bin/env python3.11"


def closure(name: str) -> dict[str, metadata.Distribution]:
    """Return the transitive dependencies of a package, by name.

    Optional dependencies (extras) are left out.
    """
    found: dict[str, metadata.Distribution] = {}
    waiting = [name]
    while waiting:
        present = metadata.distribution(waiting.pop())
        for requirement in present.requires or []:
            match = NAME.match(requirement)
            if match is None or EXTRA in requirement:
                continue
            needed = match.group().lower()
            if needed in found or not _is_installed(needed):
                continue
            found[needed] = metadata.distribution(needed)
            waiting.append(needed)
    return found


def _is_installed(name: str) -> bool:
    """Tell whether a package is installed.

    Environment markers exclude some requirements on this platform.
    """
    try:
        metadata.distribution(name)
    except metadata.PackageNotFoundError:
        return False
    return True


def stage(folder: pathlib.Path) -> None:
    """Copy the program and its dependencies into a folder."""
    source = pathlib.Path(__file__).parent.parent / PACKAGE
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(source, folder / PACKAGE, ignore=ignored)
    for one in closure(PACKAGE).values():
        for path in one.files or []:
            if ".." in path.parts or "__pycache__" in path.parts:
                continue
            target = folder / path
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(str(path.locate()), target)


def build(output: pathlib.Path) -> None:
    """Write the executable file.

    :param output: path of the executable file
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        stage(pathlib.Path(folder))
        arguments = [
            *("--site-packages", folder),
            *("--entry-point", ENTRY_POINT),
            *("--output-file", str(output)),
            *("--python", SHEBANG),
            "--compressed",
            "--reproducible",
        ]
        cli.main(arguments, standalone_mode=False)
    print(f"{output}: {output.stat().st_size} bytes", file=sys.stderr)


if __name__ == "__main__":
    defopt.run(build)
