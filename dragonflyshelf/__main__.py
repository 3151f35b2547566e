"""Entry point of ``python -m dragonflyshelf``."""

from dragonflyshelf.cli import main

if __name__ == "__main__":
    main.main()
