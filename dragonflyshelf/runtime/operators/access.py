"""Who may ask and who may change.

Without operators in the settings every statement is allowed, but only
if the listener is bound to a loopback address, which nobody reaches
from another machine; else every statement is refused.
"""

import dataclasses
import enum
import hmac
import ipaddress

from dragonflyshelf.codec import http
from dragonflyshelf.core import errors
from dragonflyshelf.core import ids
from dragonflyshelf.core import settings

HEADER_TOKEN = "authorization"
LOCAL_OPERATOR = ids.OperatorId("local")
TOKEN_SCHEME = "Bearer "


class Role(enum.Enum):
    """What an operator may do; change includes read."""

    CHANGE = "change"
    READ = "read"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Operator:
    """An operator who has shown a valid token."""

    name: ids.OperatorId
    role: Role
    authorization: str = dataclasses.field(default="", repr=False)

    def require(self, role: Role) -> None:
        """Raise ``RoleMissing`` unless the role includes another."""
        if role is Role.CHANGE and self.role is not Role.CHANGE:
            raise errors.RoleMissing(f"{self.name} may only read")


def authenticate(
    config: settings.Settings, headers: dict[str, str]
) -> Operator:
    """Return the operator of a request, or raise."""
    if not config.operators:
        return _local(config)
    authorization = headers.get(HEADER_TOKEN, "")
    if not authorization.startswith(TOKEN_SCHEME):
        raise errors.OperatorRefused("an operator's token is needed")
    token = authorization.removeprefix(TOKEN_SCHEME)
    digest = http.digest_key(token.encode())
    for name, value in config.operators.items():
        role, _, known = value.partition(":")
        if hmac.compare_digest(known.strip(), digest):
            return Operator(
                name=ids.OperatorId(name),
                role=Role(role.strip()),
                authorization=authorization,
            )
    raise errors.OperatorRefused("the operator's token is unknown")


def _local(config: settings.Settings) -> Operator:
    if not ipaddress.ip_address(config.listen.host).is_loopback:
        raise errors.OperatorRefused(
            "no operators are set, and the listener is not on loopback"
        )
    return Operator(name=LOCAL_OPERATOR, role=Role.CHANGE)
