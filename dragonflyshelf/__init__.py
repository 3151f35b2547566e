"""A router for upstreams that each own their keys exclusively."""

from typing import Final

__version__: Final = "0.1.0"
