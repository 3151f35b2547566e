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
from dragonflyshelf.core import ranges
from dragonflyshelf.core import registry
from dragonflyshelf.core import states

NAME_FIELD: Final = "name"
"""Field of a configuration object that is not an option."""

BOOLEANS_BY_KEYWORD: Final = {"no": False, "yes": True}

MAX_TEXT_CHARACTER_COUNT: Final = 255
"""Maximum length of an option with a text value."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Option:
    """An option; ``value_type`` is bool, float, int, str or an Enum class."""

    name: str
    value_type: Any
    is_required: bool
    bounds: ranges.Range | None = None

    def describe_values(self) -> str:
        """Describe the valid values for error messages."""
        if self.value_type is bool:
            return "yes or no"
        if issubclass(self.value_type, enum.Enum):
            return " or ".join(str(member.value) for member in self.value_type)
        if self.bounds is not None:
            number_type = (
                "a whole number" if self.value_type is int else "a number"
            )
            return f"{number_type} from {self.bounds}"
        return "a name or a quoted string"

    def convert(self, value: Any) -> Any:
        """Return the value as the option's type.

        Raises ``ValueError`` for an invalid value.
        """
        if self.value_type is bool:
            if value not in BOOLEANS_BY_KEYWORD:
                raise ValueError(value)
            return BOOLEANS_BY_KEYWORD[value]
        if issubclass(self.value_type, enum.Enum):
            return self.value_type(value)
        if self.value_type is str:
            return self._convert_text(value)
        return self._convert_number(value)

    def _convert_text(self, value: Any) -> str:
        if (
            not isinstance(value, str)
            or not 0 < len(value) <= MAX_TEXT_CHARACTER_COUNT
        ):
            raise ValueError(value)
        return value

    def _convert_number(self, value: Any) -> float:
        if isinstance(value, str):
            raise ValueError(value)
        number = self.value_type(value)
        is_in_bounds = self.bounds is None or self.bounds.allows(number)
        if number != value or not is_in_bounds:
            raise ValueError(value)
        return typing.cast(float, number)


@dataclasses.dataclass(frozen=True, kw_only=True)
class KindDefinition:
    """A kind of object in the operator language."""

    keyword: str
    kind: states.ConfigurationKind
    object_type: Any
    options_by_name: dict[str, Option]
    has_default: bool = False
    """A missing object is treated as one with all defaults."""


KINDS: Final[registry.Registry[str, KindDefinition]] = registry.Registry(
    "kinds of objects"
)
KEYWORDS_BY_KIND: Final[dict[states.ConfigurationKind, str]] = {}


def _derive_options(
    object_type: Any, bounds_by_name: abc.Mapping[str, ranges.Range]
) -> dict[str, Option]:
    hints = typing.get_type_hints(object_type)
    options_by_name = {}
    for field in dataclasses.fields(object_type):
        value_type = hints[field.name]
        while isinstance(value_type, typing.NewType):
            value_type = value_type.__supertype__
        if field.name == NAME_FIELD:
            continue
        options_by_name[field.name] = Option(
            name=field.name,
            value_type=value_type,
            is_required=field.default is dataclasses.MISSING,
            bounds=bounds_by_name.get(field.name),
        )
    return options_by_name


def register_kind(
    keyword: str,
    object_kind: states.ConfigurationKind,
    *,
    has_default: bool = False,
) -> abc.Callable[[type], type]:
    """Return a decorator that registers the bounds class of a kind.

    Its ``OBJECT_TYPE`` is the configuration class; each attribute of type
    ``Range`` bounds the numeric option of the same name.
    """

    def decorate(cls: type) -> type:
        object_type = cls.OBJECT_TYPE  # type: ignore[attr-defined]
        bounds_by_name = {
            name: value
            for name, value in vars(cls).items()
            if isinstance(value, ranges.Range)
        }
        KINDS.register(keyword)(
            KindDefinition(
                keyword=keyword,
                kind=object_kind,
                object_type=object_type,
                options_by_name=_derive_options(object_type, bounds_by_name),
                has_default=has_default,
            )
        )
        KEYWORDS_BY_KIND[object_kind] = keyword
        return cls

    return decorate


@register_kind("service", states.ConfigurationKind.SERVICE)
class ServiceBounds:
    """Bounds of a service.

    ``shards`` is bounded so that the service's segment object stays
    under 1 MB.
    """

    OBJECT_TYPE = objects.Service
    shards = ranges.Range(minimum=1, maximum=8192)


@register_kind("workspace", states.ConfigurationKind.WORKSPACE)
class WorkspaceBounds:
    """Bounds of a workspace."""

    OBJECT_TYPE = objects.Workspace
    burst = ranges.Range(minimum=1, maximum=1e8, unit="requests")
    rate = ranges.Range(minimum=0, maximum=2e7, unit="requests/s")
    weight = ranges.Range(minimum=0.001, maximum=1000)


@register_kind("upstream", states.ConfigurationKind.UPSTREAM)
class UpstreamBounds:
    """Bounds of an upstream."""

    OBJECT_TYPE = objects.Upstream
    connections = ranges.Range(minimum=1, maximum=10000)
    port = ranges.Range(minimum=1, maximum=65535)
    slots = ranges.Range(minimum=1, maximum=10000)


@register_kind(
    "data_centre", states.ConfigurationKind.DATA_CENTRE, has_default=True
)
class DataCentreBounds:
    """A data centre has no numeric options."""

    OBJECT_TYPE = objects.DataCentre


@register_kind("instance", states.ConfigurationKind.INSTANCE, has_default=True)
class InstanceBounds:
    """An instance has no numeric options."""

    OBJECT_TYPE = objects.Instance


@register_kind("key", states.ConfigurationKind.CALLER_KEY)
class CallerKeyBounds:
    """A caller key has no options; it is granted and withdrawn."""

    OBJECT_TYPE = objects.CallerKey
