"""Router for upstreams, each of which exclusively owns its keys."""

from typing import Final

__version__: Final = "0.1.0"
