"""Kinds of objects in the operator language, with their options.

The options of a kind are the fields of its configuration object. A
registered class adds the keyword and the ranges of numeric options.
"""

from collections import abc
import dataclasses
import enum
import typing
from typing import Any, Final

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core import errors
from dragonflyshelf.core import ranges
from dragonflyshelf.core import registry
from dragonflyshelf.core import states

ATTR_NAME: Final = "name"
BOOLEANS: Final = {"no": False, "yes": True}
LONGEST_TEXT: Final = 255


@dataclasses.dataclass(frozen=True, kw_only=True)
class Option:
    """An option; ``type`` is bool, float, int, str or an Enum class."""

    name: str
    type: Any
    required: bool
    bounds: ranges.Range | None = None

    def expected(self) -> str:
        """Describe the valid values for error messages."""
        if self.type is bool:
            return "yes or no"
        if issubclass(self.type, enum.Enum):
            return " or ".join(str(one.value) for one in self.type)
        if self.bounds is not None:
            word = "a whole number" if self.type is int else "a number"
            return f"{word} from {self.bounds}"
        return "a name or a quoted string"

    def convert(self, value: Any) -> Any:
        """Return the value as the option's type.

        Raises ``ValueError`` for an invalid value.
        """
        if self.type is bool:
            if value not in BOOLEANS:
                raise ValueError(value)
            return BOOLEANS[value]
        if issubclass(self.type, enum.Enum):
            return self.type(value)
        if self.type is str:
            return self._text(value)
        return self._number(value)

    def _text(self, value: Any) -> str:
        if not isinstance(value, str) or not 0 < len(value) <= LONGEST_TEXT:
            raise ValueError(value)
        return value

    def _number(self, value: Any) -> float:
        if isinstance(value, str):
            raise ValueError(value)
        found = self.type(value)
        inside = self.bounds is None or self.bounds.allows(found)
        if found != value or not inside:
            raise ValueError(value)
        return typing.cast(float, found)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of object in the operator language."""

    word: str
    kind: states.ObjectKind
    type: Any
    options_by_name: dict[str, Option]
    has_default: bool = False
    """A missing object is treated as one with all defaults."""


KINDS: Final[registry.Registry[str, Kind]] = registry.Registry(
    "kinds of objects"
)
WORDS_BY_KIND: Final[dict[states.ObjectKind, str]] = {}


def _options(
    type_: Any, bounds_by_name: abc.Mapping[str, ranges.Range]
) -> dict[str, Option]:
    hints = typing.get_type_hints(type_)
    found = {}
    for field in dataclasses.fields(type_):
        kind = hints[field.name]
        while isinstance(kind, typing.NewType):
            kind = kind.__supertype__
        if field.name == ATTR_NAME:
            continue
        found[field.name] = Option(
            name=field.name,
            type=kind,
            required=field.default is dataclasses.MISSING,
            bounds=bounds_by_name.get(field.name),
        )
    return found


def kind(
    word: str, object_kind: states.ObjectKind, *, has_default: bool = False
) -> abc.Callable[[type], type]:
    """Return a decorator that registers the bounds class of a kind.

    Its ``OBJECT`` is the configuration class; each attribute of type
    ``Range`` bounds the numeric option of the same name.
    """

    def decorate(cls: type) -> type:
        type_ = cls.OBJECT  # type: ignore[attr-defined]
        bounds_by_name = {
            name: value
            for name, value in vars(cls).items()
            if isinstance(value, ranges.Range)
        }
        KINDS.register(word)(
            Kind(
                word=word,
                kind=object_kind,
                type=type_,
                options_by_name=_options(type_, bounds_by_name),
                has_default=has_default,
            )
        )
        WORDS_BY_KIND[object_kind] = word
        return cls

    return decorate


def of(object_kind: states.ObjectKind) -> Kind:
    """Return the definition of a kind, or raise ``NotRegistered``."""
    if object_kind not in WORDS_BY_KIND:
        raise errors.NotRegistered(
            f"no commands are defined for {object_kind.value}"
        )
    return KINDS.get(WORDS_BY_KIND[object_kind])


@kind("service", states.ObjectKind.SERVICE)
class ServiceBounds:
    """Bounds of a service.

    ``shards`` is bounded so that the service's segment object stays
    under 1 MB.
    """

    OBJECT = objects.Service
    shards = ranges.Range(minimum=1, maximum=8192)


@kind("workspace", states.ObjectKind.WORKSPACE)
class WorkspaceBounds:
    """Bounds of a workspace."""

    OBJECT = objects.Workspace
    burst = ranges.Range(minimum=1, maximum=1e8, unit="requests")
    rate = ranges.Range(minimum=0, maximum=2e7, unit="requests/s")
    weight = ranges.Range(minimum=0.001, maximum=1000)


@kind("upstream", states.ObjectKind.UPSTREAM)
class UpstreamBounds:
    """Bounds of an upstream."""

    OBJECT = objects.Upstream
    connections = ranges.Range(minimum=1, maximum=10000)
    port = ranges.Range(minimum=1, maximum=65535)
    slots = ranges.Range(minimum=1, maximum=10000)


@kind("data_centre", states.ObjectKind.DATA_CENTRE, has_default=True)
class DataCentreBounds:
    """A data centre has no numeric options."""

    OBJECT = objects.DataCentre


@kind("instance", states.ObjectKind.INSTANCE, has_default=True)
class InstanceBounds:
    """An instance has no numeric options."""

    OBJECT = objects.Instance


@kind("key", states.ObjectKind.CALLER_KEY)
class CallerKeyBounds:
    """A caller key has no options; it is granted and withdrawn."""

    OBJECT = objects.CallerKey
