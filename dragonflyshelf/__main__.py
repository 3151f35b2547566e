"""Entry point of the command."""

import sys

from dragonflyshelf.runtime import hangup

SERVE_COMMAND = "serve"


def main() -> None:
    """Run the command line."""
    if sys.argv[1:2] == [SERVE_COMMAND]:
        hangup.hold()
    # Loading the libraries takes long enough for a signal to arrive.
    from dragonflyshelf.cli import main as cli_main

    cli_main.main()


if __name__ == "__main__":
    main()
