"""Header names, paths and object names of the platform.

Field names of bodies are defined where these are decoded.
"""

from typing import Final

from dragonflyshelf.codec import http
from dragonflyshelf.core.store import messages as store

HEADERS: Final = http.HeaderNames(
    caller_key=b"x-api-key",
    deadline=b"deadline-ms",
    expected_upstream=b"expect-instance",
    leaving=b"server-leaving",
    load=b"load-report",
    not_run=b"not-executed",
    request_id=b"request-id",
    signature=b"response-seal",
    shard_key=b"shard-key",
    workspace=b"tenant",
)

HEADER_EXPECTED_UPSTREAM: Final = "expect-instance"
HEADER_HANDOVER: Final = b"handover"

PATH_GRANT: Final = "/-/grant"
PATH_OBJECTS: Final = "/-/objects"
PATH_READY: Final = "/-/readyz"
PATH_RELEASE: Final = "/-/release"

PATHS_BY_KIND: Final = {
    store.ObjectKind.CONFIGURATION: f"{PATH_OBJECTS}/config",
    store.ObjectKind.CONTROL: f"{PATH_OBJECTS}/dragonflyshelf",
    store.ObjectKind.EVACUATION: f"{PATH_OBJECTS}/evacuations",
    store.ObjectKind.REGISTRATION: f"{PATH_OBJECTS}/servers",
    store.ObjectKind.ROLLOUT: f"{PATH_OBJECTS}/rollouts",
}

MAIN_CONFIGURATION_NAME: Final = "main"
SETTINGS_PATH_VARIABLE: Final = "DRAGONFLYSHELF_NODE_FILE"
