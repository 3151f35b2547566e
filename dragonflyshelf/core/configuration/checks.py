"""Checks of a change before it is accepted.

A check is a registered function that yields the reasons against a
change. A check that may be forced guards service, not consistency.
"""

from collections import abc
import dataclasses
from typing import Any, Final

from dragonflyshelf.core.configuration import objects
from dragonflyshelf.core.configuration import view
from dragonflyshelf.core import errors
from dragonflyshelf.core.platform import messages
from dragonflyshelf.core import registry
from dragonflyshelf.core import states

TOTAL_RATE: Final = 2e7
"""Bound of the sum of all workspaces' rates, in requests a second."""

TOTAL_SHARDS: Final = 65536
"""Bound of the sum of all services' shards."""

FIXED_FIELDS_BY_TYPE: Final[dict[type, tuple[str, ...]]] = {
    objects.Service: ("key_source", "shards"),
    objects.Upstream: ("fenced", "host", "port", "service"),
}
"""A key would have two owners while instances differ in one of these."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One object before and after; None for none."""

    view: view.ObjectView
    key: messages.ObjectKey
    before: Any
    after: Any

    @property
    def is_drop(self) -> bool:
        """Tell whether the object is deleted."""
        return self.after is None

    def values_after(self, kind: states.ObjectKind) -> list[Any]:
        """Return all values of a kind as they are after the change."""
        found = [
            one
            for one in self.view.values(kind)
            if kind is not self.key.kind or _name(one) != self.key.name
        ]
        if kind is self.key.kind and self.after is not None:
            found.append(self.after)
        return found


def _name(value: Any) -> str:
    return str(getattr(value, "name", "") or value.key_id)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Check:
    """A check and whether an operator may force the change."""

    name: str
    forcible: bool
    reasons: abc.Callable[[Change], abc.Iterable[str]]


CHECKS: Final[registry.Registry[str, Check]] = registry.Registry("checks")


def check(
    name: str, *, forcible: bool = False
) -> abc.Callable[[Any], abc.Callable[[Change], abc.Iterable[str]]]:
    """Return a decorator that registers a function of reasons."""

    def decorate(reasons: Any) -> Any:
        CHECKS.register(name)(
            Check(name=name, forcible=forcible, reasons=reasons)
        )
        return reasons

    return decorate


def run(change: Change, forced: bool) -> tuple[str, ...]:
    """Return the reasons that were forced, or raise the first other one.

    Raises ``CommandRefused``.
    """
    overridden = []
    for name in CHECKS:
        one = CHECKS.get(name)
        for reason in one.reasons(change):
            if not (forced and one.forcible):
                hint = "; add force to do it anyway" if one.forcible else ""
                raise errors.CommandRefused(f"{name}: {reason}{hint}")
            overridden.append(f"{name}: {reason}")
    return tuple(overridden)


@check("references")
def references(change: Change) -> abc.Iterator[str]:
    """Yield names that the new value refers to and that do not exist."""
    after = change.after
    if isinstance(after, objects.Upstream):
        if change.view.get(states.ObjectKind.SERVICE, after.service) is None:
            yield f"there is no service {after.service}"
    if isinstance(after, objects.CallerKey):
        kind = states.ObjectKind.WORKSPACE
        if change.view.get(kind, after.workspace) is None:
            yield f"there is no workspace {after.workspace}"


@check("in use")
def in_use(change: Change) -> abc.Iterator[str]:
    """Yield objects that still refer to one that is dropped."""
    if not change.is_drop:
        return
    if change.key.kind is states.ObjectKind.SERVICE:
        for one in change.view.values(states.ObjectKind.UPSTREAM):
            if one.service == change.key.name:
                yield f"upstream {one.name} belongs to it"
    if change.key.kind is states.ObjectKind.WORKSPACE:
        for one in change.view.values(states.ObjectKind.CALLER_KEY):
            if one.workspace == change.key.name:
                yield f"caller key {one.key_id} belongs to it"


@check("fixed")
def fixed(change: Change) -> abc.Iterator[str]:
    """Yield fields that cannot change while the object exists."""
    if change.before is None or change.after is None:
        return
    for field in FIXED_FIELDS_BY_TYPE.get(type(change.after), ()):
        if getattr(change.before, field) != getattr(change.after, field):
            yield f"{field} cannot change; drop and create instead"


@check("withdrawn key")
def withdrawn_key(change: Change) -> abc.Iterator[str]:
    """Yield a caller key that would be dropped while it still works."""
    is_key = isinstance(change.before, objects.CallerKey)
    if change.is_drop and is_key and not change.before.withdrawn:
        yield "the key still works; withdraw it first"


@check("slots")
def slots(change: Change) -> abc.Iterator[str]:
    """Yield an upstream with more slots than connections."""
    after = change.after
    if isinstance(after, objects.Upstream) and after.slots > after.connections:
        yield f"{after.slots} slots need as many connections"


@check("sum of rates")
def sum_of_rates(change: Change) -> abc.Iterator[str]:
    """Yield a sum of rates that the fleet is not made for."""
    if not isinstance(change.after, objects.Workspace):
        return
    workspaces = change.values_after(states.ObjectKind.WORKSPACE)
    total = sum(one.rate for one in workspaces)
    if total > TOTAL_RATE:
        yield f"the rates add up to {total:g}, over {TOTAL_RATE:g}"


@check("sum of shards")
def sum_of_shards(change: Change) -> abc.Iterator[str]:
    """Yield a sum of shards that the fleet is not made for."""
    if not isinstance(change.after, objects.Service):
        return
    services = change.values_after(states.ObjectKind.SERVICE)
    total = sum(one.shards for one in services)
    if total > TOTAL_SHARDS:
        yield f"the shards add up to {total}, over {TOTAL_SHARDS}"


def _usable_by_service(upstreams: list[Any], out: set[str]) -> dict[str, int]:
    found: dict[str, int] = {}
    for one in upstreams:
        usable = one.state is states.AdminState.IN_SERVICE
        if usable and one.data_centre not in out:
            found[one.service] = found.get(one.service, 0) + 1
    return found


def _out(centres: list[objects.DataCentre]) -> set[str]:
    return {
        one.name
        for one in centres
        if one.state is not states.AdminState.IN_SERVICE
    }


@check("last upstream", forcible=True)
def last_upstream(change: Change) -> abc.Iterator[str]:
    """Yield services that the change leaves without an upstream."""
    kinds = states.ObjectKind
    before = _usable_by_service(
        change.view.values(kinds.UPSTREAM),
        _out(change.view.values(kinds.DATA_CENTRE)),
    )
    after = _usable_by_service(
        change.values_after(kinds.UPSTREAM),
        _out(change.values_after(kinds.DATA_CENTRE)),
    )
    for service in sorted(set(before) - set(after)):
        yield f"service {service} would have no upstream in service"


@check("last data centre", forcible=True)
def last_data_centre(change: Change) -> abc.Iterator[str]:
    """Yield a change that leaves no data centre in service."""
    if change.key.kind is not states.ObjectKind.DATA_CENTRE:
        return
    kinds = states.ObjectKind
    known = {
        one.data_centre
        for kind in (kinds.ROSTER, kinds.UPSTREAM)
        for one in change.view.values(kind)
    }
    known.add(change.key.name)
    before = known - _out(change.view.values(kinds.DATA_CENTRE))
    after = known - _out(change.values_after(kinds.DATA_CENTRE))
    if before and not after:
        yield f"{change.key.name} is the last data centre in service"


@check("last instance", forcible=True)
def last_instance(change: Change) -> abc.Iterator[str]:
    """Yield a change that leaves no instance in service."""
    if change.key.kind is not states.ObjectKind.INSTANCE:
        return
    kinds = states.ObjectKind
    members = {
        one.instance
        for roster in change.view.values(kinds.ROSTER)
        for one in roster.members
    }
    before = members - _out(change.view.values(kinds.INSTANCE))
    after = members - _out(change.values_after(kinds.INSTANCE))
    if before and not after:
        yield f"{change.key.name} is the last instance in service"
