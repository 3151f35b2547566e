"""Whether an instance is ready for requests, and why it is not."""

from collections import abc
import dataclasses

from dragonflyshelf.core.configuration import faults
from dragonflyshelf.core import ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationStatus:
    """Configuration in force at an instance, and its newest fault.

    ``version`` is None without a configuration. ``age`` is the time in
    seconds since ``version`` was known to be the newest.
    """

    version: ids.ConfigurationVersion | None
    age: float
    fault: faults.ObjectFault | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Readiness:
    """Whether an instance is ready; ``remarks`` are for the operator."""

    is_ready: bool
    remarks: tuple[str, ...]

    def __str__(self) -> str:
        """Return a line with the state, and one for each remark."""
        state = "ready" if self.is_ready else "not ready"
        return "".join(f"{line}\n" for line in (state, *self.remarks))


def assess(
    status: ConfigurationStatus, max_age: float, is_draining: bool
) -> Readiness:
    """Return the readiness; ``max_age`` is in seconds.

    A version that can't be read is remarked at once. It makes an instance
    not ready when the one in force has not been confirmed for ``max_age``.
    """
    obstacles = tuple(_find_obstacles(status, max_age, is_draining))
    remarks = list(obstacles)
    if status.version is not None:
        remarks.append(f"configuration {status.version} is in force")
    if status.fault is not None:
        remarks.append(
            f"{status.fault.kind.value} object is invalid:" f" {status.fault}"
        )
    return Readiness(is_ready=not obstacles, remarks=tuple(remarks))


def _find_obstacles(
    status: ConfigurationStatus, max_age: float, is_draining: bool
) -> abc.Iterator[str]:
    """Yield each reason for which an instance is not ready."""
    if is_draining:
        yield "the instance is shutting down"
    if status.version is None:
        yield "no valid configuration has been received"
    elif status.age > max_age:
        yield (
            f"the configuration in force was last confirmed {status.age:.1f} s"
            f" ago, at most {max_age:g} s are allowed"
        )
