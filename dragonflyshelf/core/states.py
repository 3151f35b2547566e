"""States and kinds in messages and objects."""

import enum


class Access(enum.Enum):
    """Who may call: everyone, or who has a caller key."""

    OPEN = "open"
    PRIVATE = "private"


class AdminState(enum.Enum):
    """Administrative state of a data centre, instance or upstream."""

    DRAINING = "draining"
    IN_SERVICE = "in_service"
    OUT = "out"


class KeySource(enum.Enum):
    """Part of a request that contains the shard key."""

    HEADER = "header"
    NONE = "none"
    PATH = "path"


class ConfigurationKind(enum.Enum):
    """Kinds of configuration objects."""

    CALLER_KEY = "caller_key"
    DATA_CENTRE = "data_centre"
    INSTANCE = "instance"
    SERVICE = "service"
    UPSTREAM = "upstream"
    WORKSPACE = "workspace"


class Outcome(enum.Enum):
    """Whether a request without a response was executed."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Priority(enum.Enum):
    """Priority class of a service's requests."""

    PATIENT = "patient"
    URGENT = "urgent"


class Step(enum.Enum):
    """Processing step at which an error occurred."""

    ADMISSION = "admission"
    AUTHENTICATION = "authentication"
    COMMAND = "command"
    CONFIGURATION = "configuration"
    CONNECT = "connect"
    DISPATCH = "dispatch"
    INVARIANT = "invariant"
    LIMIT = "limit"
    PARSE = "parse"
    PLATFORM = "platform"
    RECEIVE = "receive"
    ROUTE = "route"
    SETTINGS = "settings"
