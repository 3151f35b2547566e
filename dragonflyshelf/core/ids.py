"""Types of identifiers, versions and timestamps."""

from typing import NewType

CallerKeyId = NewType("CallerKeyId", str)
"""Public identifier of a caller key; the key itself is never stored."""

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""Version of the operator's configuration; increases monotonically."""

ConnectionId = NewType("ConnectionId", int)
"""Connection in the account of memory, unique in one process."""

DataCentreId = NewType("DataCentreId", str)
"""Name of a data centre."""

Epoch = NewType("Epoch", int)
"""Fencing token of a shard range; increases monotonically."""

ExchangeId = NewType("ExchangeId", int)
"""Number of a request, unique within a process."""

Incarnation = NewType("Incarnation", int)
"""Identifies one start of an instance."""

Instant = NewType("Instant", float)
"""Reading of the monotonic clock of this process, in seconds."""

InstanceId = NewType("InstanceId", str)
"""Name of an instance."""

KeyDigest = NewType("KeyDigest", str)
"""Hexadecimal SHA-256 digest of a caller key."""

ObjectName = NewType("ObjectName", str)
"""Name of a platform object within its kind."""

RequestId = NewType("RequestId", str)
"""Identifier of a request, unique over all processes."""

Revision = NewType("Revision", int)
"""Revision of the platform's store; increases with each change."""

RouteName = NewType("RouteName", str)
"""Name of a route in the configuration."""

ServiceName = NewType("ServiceName", str)
"""Name of a service."""

ShardId = NewType("ShardId", int)
"""Number of a shard within its service, from 0."""

ShardKey = NewType("ShardKey", int)
"""Partitioning key of a sharded service, from 0 to 65535."""

HybridTimestamp = NewType("HybridTimestamp", int)
"""Hybrid logical clock timestamp; orders events across instances."""

Term = NewType("Term", int)
"""Leadership term over one upstream; increases monotonically."""

UpstreamVersion = NewType("UpstreamVersion", str)
"""Version of the software of an upstream."""

UpstreamIncarnation = NewType("UpstreamIncarnation", str)
"""Identifies one start of an upstream."""

UpstreamId = NewType("UpstreamId", str)
"""Name of an upstream."""

Version = NewType("Version", int)
"""Version of a platform object; 0 means that it does not exist."""

WorkspaceId = NewType("WorkspaceId", str)
"""Name of a workspace."""
