"""Decoding of the configuration and of upstreams' registrations.

The fields of records are encoded by name in the platform's format.
"""

from collections import abc
import dataclasses
import ipaddress
from typing import Annotated, Any, TypeVar

import msgspec

from dragonflyshelf.codec import http
from dragonflyshelf.core.configuration import validity
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core import states
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.core.upstreams import objects as upstreams
from dragonflyshelf.platform import violations

R = TypeVar("R")

STATE_READY = "ready"
STATE_DRAINING = "draining"
VERSION_PREFIX = "r"
"""Prefix of the number in a configuration's version."""

MAX_SLOT_COUNT = 65535
"""Slots of an upstream above which its registration is not believed."""

MAX_WARMUP_SECONDS = 86400.0
"""Rest of a warm-up above which a registration is not believed."""

MAX_START_MS = 2**53
"""Largest start of an upstream, in milliseconds of Unix time."""

PORTS = range(1, 65536)
MAX_PORT_DIGIT_COUNT = 5

DECODING_ERRORS = (
    msgspec.MsgspecError,
    OverflowError,
    RecursionError,
    ValueError,
)
"""What a decoder raises for a value that another writer has left."""


class Table(msgspec.Struct, rename="pascal"):
    """Table whose rows hold values in the order of the columns."""

    columns: list[str]
    rows: list[list[Any]]

    def records(self) -> list[dict[str, Any]]:
        """Return each row as values by column, without null values."""
        return [
            {
                name: value
                for name, value in zip(self.columns, row)
                if value is not None
            }
            for row in self.rows
        ]

    def check_shape(self, name: str) -> None:
        """Raise ``FieldViolation`` if a value has not exactly one column."""
        if len(set(self.columns)) < len(self.columns):
            raise violations.FieldViolation(
                "a column is given twice", f"{name}.Columns", ""
            )
        for number, row in enumerate(self.rows):
            if len(row) != len(self.columns):
                raise violations.FieldViolation(
                    f"has {len(row)} values for {len(self.columns)} columns",
                    f"{name}.Rows[{number}]",
                    "",
                )


class WeightedServiceRecord(msgspec.Struct, rename="pascal"):
    """Service and weight of one target of a traffic split."""

    service: str
    weight: float


class RouteRecord(msgspec.Struct, rename="pascal"):
    """Route; ``timeout_s`` limits the total time of a request."""

    name: str
    host: str
    path_prefix: str
    kind: routing.RequestKind
    timeout_s: float
    max_attempts: int
    slo_latency_s: float = 1.0
    priority: int = 0
    traffic_split: list[WeightedServiceRecord] | None = None
    public: bool = False
    service: str | None = None


class ServiceRecord(msgspec.Struct, rename="pascal"):
    """Service; ``warmup_per_s`` is the rate of an upstream warming up."""

    name: str
    health_path: str = "/"
    max_connections: int = 100
    warmup_s: float = 0.0
    warmup_per_s: float = 1.0
    sharded: bool = False


class WorkspaceRecord(msgspec.Struct, rename="pascal"):
    """Workspace, which the platform calls a tenant."""

    name: str
    api_keys: list[Annotated[str, msgspec.Meta(min_length=1)]] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class LimitsRecord(msgspec.Struct, rename="pascal"):
    """Limits on the requests of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ConfigurationRecord(msgspec.Struct, rename="pascal"):
    """Configuration that the operator writes.

    Without ``tenants`` it is open to everyone; without a row of them it is
    open to nobody.
    """

    version: str
    routes: Table
    services: Table
    tenants: Table | msgspec.UnsetType = msgspec.UNSET
    limits: LimitsRecord = msgspec.field(default_factory=LimitsRecord)


class RegistrationRecord(msgspec.Struct, rename="pascal"):
    """Registration of an upstream, whose id is the name of the object.

    ``born`` is the Unix millisecond of its start. Unlike the other fields
    it is not in Pascal case, and some writers omit it.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOT_COUNT)]
    state: str
    warmup_left_s: Annotated[
        float, msgspec.Meta(ge=0, le=MAX_WARMUP_SECONDS)
    ] = 0.0
    version: str = ""
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_START_MS)] = msgspec.field(
        name="born", default=0
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckedConfiguration:
    """A configuration, None if it has faults, and those that were found."""

    configuration: routing.Configuration | None
    faults: tuple[errors.InvalidObject, ...]


def decode_configuration(spec: bytes) -> routing.Configuration:
    """Return the operator's configuration.

    Raises ``InvalidObject``, with the field at fault, if it is invalid.
    """
    checked = check_configuration(spec)
    for fault in checked.faults:
        raise fault
    assert checked.configuration is not None
    return checked.configuration


def check_configuration(spec: bytes) -> CheckedConfiguration:
    """Return the operator's configuration, or all faults that it has.

    The rules are applied to a configuration whose fields can be decoded.
    """
    found: list[violations.FieldViolation] = []
    configuration = None
    try:
        configuration = _to_configuration(_decode_record(spec), found)
    except violations.FieldViolation as error:
        found.append(error)
    except DECODING_ERRORS as error:
        fault = errors.InvalidObject(f"can't be decoded: {error}")
        return CheckedConfiguration(configuration=None, faults=(fault,))
    if configuration is not None and not found:
        found.extend(
            violations.translate(violation)
            for violation in validity.find_violations(configuration)
        )
    version = _find_version(spec) if found else ""
    return CheckedConfiguration(
        configuration=None if found else configuration,
        faults=tuple(_to_fault(violation, version) for violation in found),
    )


def _to_fault(
    violation: violations.FieldViolation, version: str
) -> errors.InvalidObject:
    return errors.InvalidObject(
        violation.reason,
        version=version,
        place=violation.place,
        value=violation.value,
    )


def _decode_record(spec: bytes) -> ConfigurationRecord:
    try:
        return msgspec.json.decode(spec, type=ConfigurationRecord)
    except msgspec.ValidationError as error:
        raise violations.locate(error, msgspec.json.decode(spec), "") from None


def _to_configuration(
    record: ConfigurationRecord, found: list[violations.FieldViolation]
) -> routing.Configuration:
    """Return a configuration without the rows that can't be decoded.

    What is wrong with these is added to ``found``.
    """
    tenants = record.tenants
    if isinstance(tenants, msgspec.UnsetType):
        access = states.Access.OPEN
        tenants = Table(columns=[], rows=[])
    else:
        access = states.Access.PRIVATE
    routes = _convert_rows("Routes", record.routes, RouteRecord, found)
    services = _convert_rows("Services", record.services, ServiceRecord, found)
    workspaces = _convert_rows("Tenants", tenants, WorkspaceRecord, found)
    return routing.Configuration(
        version=_parse_version(record.version),
        routes=tuple(_to_route(row) for row in routes),
        services=tuple(_to_service(row) for row in services),
        workspaces=tuple(_to_workspace(row) for row in workspaces),
        limits=_to_limits(record.limits),
        access=access,
    )


def _convert_rows(
    name: str,
    table: Table,
    record_type: type[R],
    found: list[violations.FieldViolation],
) -> abc.Iterator[R]:
    """Yield the rows of a table as records of a type."""
    try:
        table.check_shape(name)
    except violations.FieldViolation as error:
        found.append(error)
        return
    for number, row in enumerate(table.records()):
        try:
            yield msgspec.convert(row, record_type)
        except msgspec.ValidationError as error:
            place = f"{name}.Rows[{number}]"
            found.append(violations.locate(error, row, place))


def _find_version(spec: bytes) -> str:
    """Return the version of an invalid configuration, if it can be read."""
    version = msgspec.json.decode(spec)
    if isinstance(version, dict):
        version = version.get("Version")
    return version if isinstance(version, str) else ""


def decode_registration(stored: store.StoredObject) -> upstreams.Registration:
    """Return the registration of an upstream.

    Raises ``InvalidObject`` if it cannot be decoded.
    """
    try:
        record = msgspec.json.decode(stored.spec, type=RegistrationRecord)
        host, port = _parse_address(record.address)
        if record.state not in (STATE_READY, STATE_DRAINING):
            raise ValueError("invalid state")
        return upstreams.Registration(
            id=ids.UpstreamId(stored.name),
            service=ids.ServiceName(record.service),
            host=host,
            port=port,
            data_centre=ids.DataCentreId(record.zone),
            slots=record.slots,
            is_draining=record.state == STATE_DRAINING,
            warmup_left_seconds=record.warmup_left_s,
            started_at_ms=record.born,
            version=ids.UpstreamVersion(record.version),
        )
    except DECODING_ERRORS as error:
        raise errors.InvalidObject(f"{stored.name}: {error}") from error


def _parse_address(text: str) -> tuple[str, int]:
    """Return host and port of an upstream."""
    host, _, port_text = text.rpartition(":")
    is_number = port_text.isascii() and port_text.isdecimal()
    if not is_number or len(port_text) > MAX_PORT_DIGIT_COUNT:
        raise ValueError("port is not a number")
    port = int(port_text)
    if port not in PORTS:
        raise ValueError("port is out of range")
    return str(ipaddress.ip_address(host)), port


def _parse_version(text: str) -> ids.ConfigurationVersion:
    number = text.removeprefix(VERSION_PREFIX)
    if not number.isascii() or not number.isdecimal():
        raise violations.FieldViolation(
            "is not a version", "Version", violations.show(text, "Version")
        )
    return ids.ConfigurationVersion(int(number))


def _find_targets(record: RouteRecord) -> list[WeightedServiceRecord]:
    """Return the services of a route; its split goes before its service."""
    if record.traffic_split is not None:
        return record.traffic_split
    if record.service is None:
        return []
    return [WeightedServiceRecord(service=record.service, weight=1.0)]


def _to_route(record: RouteRecord) -> routing.Route:
    return routing.Route(
        name=ids.RouteName(record.name),
        host=record.host.lower(),
        path_prefix=record.path_prefix,
        kind=record.kind,
        timeout=record.timeout_s,
        latency_objective=record.slo_latency_s,
        priority=record.priority,
        traffic_split=tuple(
            routing.WeightedService(
                service=ids.ServiceName(target.service), weight=target.weight
            )
            for target in _find_targets(record)
        ),
        max_attempts=record.max_attempts,
        is_public=record.public,
    )


def _to_service(record: ServiceRecord) -> routing.Service:
    return routing.Service(
        name=ids.ServiceName(record.name),
        health_path=record.health_path,
        max_connections=record.max_connections,
        warmup_seconds=record.warmup_s,
        warmup_rate=record.warmup_per_s,
        is_sharded=record.sharded,
    )


def _to_workspace(record: WorkspaceRecord) -> routing.Workspace:
    return routing.Workspace(
        name=ids.WorkspaceId(record.name),
        key_digests=tuple(
            http.digest_key(key.encode()) for key in record.api_keys
        ),
        priority=record.priority,
        rate=record.rate_per_s,
        burst=record.burst,
    )


def _to_limits(record: LimitsRecord) -> routing.Limits:
    return routing.Limits(
        head_bytes=record.max_header_bytes,
        body_bytes=record.max_body_bytes,
        head_timeout=record.header_timeout_s,
        idle_timeout=record.idle_timeout_s,
    )
