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
ENTRY_POINT = "dragonflyshelf.__main__:main"
PACKAGE_NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]+")
EXTRA_MARKER = "extra =="
SHEBANG = "/usr/bin/env python3.11"


def collect_dependencies(name: str) -> dict[str, metadata.Distribution]:
    """Return the transitive dependencies of a package, by name.

    Optional dependencies (extras) are left out.
    """
    distributions_by_name: dict[str, metadata.Distribution] = {}
    pending = [name]
    while pending:
        distribution = metadata.distribution(pending.pop())
        for requirement in distribution.requires or []:
            match = PACKAGE_NAME_PATTERN.match(requirement)
            if match is None or EXTRA_MARKER in requirement:
                continue
            required_name = match.group().lower()
            if required_name in distributions_by_name or not _is_installed(
                required_name
            ):
                continue
            distributions_by_name[required_name] = metadata.distribution(
                required_name
            )
            pending.append(required_name)
    return distributions_by_name


def _is_installed(name: str) -> bool:
    """Tell whether a package is installed.

    Environment markers exclude some requirements on this platform.
    """
    try:
        metadata.distribution(name)
    except metadata.PackageNotFoundError:
        return False
    return True


def copy_sources(folder: pathlib.Path) -> None:
    """Copy the program and its dependencies into a folder."""
    source = pathlib.Path(__file__).parent.parent / PACKAGE
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(source, folder / PACKAGE, ignore=ignored)
    for distribution in collect_dependencies(PACKAGE).values():
        for path in distribution.files or []:
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
        copy_sources(pathlib.Path(folder))
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
