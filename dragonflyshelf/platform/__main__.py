"""Entry point on the platform: runs one instance."""

import os
import pathlib

from dragonflyshelf.runtime import hangup


def main() -> None:
    """Serve until a signal arrives; the environment names the settings."""
    hangup.hold()
    # Loading the libraries takes long enough for a signal to arrive.
    from dragonflyshelf.platform import names
    from dragonflyshelf.runtime import process

    path = pathlib.Path(os.environ.get(names.SETTINGS_PATH_VARIABLE, ""))
    process.serve(path)


if __name__ == "__main__":
    main()
