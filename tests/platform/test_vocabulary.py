"""Tests that the decoders know the words of the platform's pages.

The lists are typed from PROTOCOL.md, SYSTEM.md and the LATER pages: what a
page names and the decoder doesn't know would be dropped in silence.
"""

import json
from typing import Any, Final

import msgspec
import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.routing import objects as routing
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.platform import names
from dragonflyshelf.platform import objects
from tests.platform import test_configuration_fields as fields

NAMES_BY_RECORD: Final[dict[type, frozenset[str]]] = {
    objects.ConfigurationRecord: frozenset(
        {"Version", "Routes", "Services", "Tenants", "Limits"}
    ),
    objects.Table: frozenset({"Columns", "Rows"}),
    objects.RouteRecord: frozenset(
        {
            "Name",
            "Host",
            "PathPrefix",
            "Kind",
            "TimeoutS",
            "SloLatencyS",
            "Priority",
            "MaxAttempts",
            "TrafficSplit",
            "Public",
            "Service",
        }
    ),
    objects.WeightedServiceRecord: frozenset({"Service", "Weight"}),
    objects.ServiceRecord: frozenset(
        {
            "Name",
            "HealthPath",
            "MaxConnections",
            "WarmupS",
            "WarmupPerS",
            "Sharded",
        }
    ),
    objects.WorkspaceRecord: frozenset(
        {"Name", "ApiKeys", "Priority", "RatePerS", "Burst"}
    ),
    objects.LimitsRecord: frozenset(
        {
            "MaxHeaderBytes",
            "MaxBodyBytes",
            "HeaderTimeoutS",
            "IdleTimeoutS",
        }
    ),
    objects.RegistrationRecord: frozenset(
        {
            "Service",
            "Address",
            "Zone",
            "Slots",
            "State",
            "Version",
            "WarmupLeftS",
            "born",
        }
    ),
}
UNUSED_NAMES: Final = {
    "Grants": "services: the router grants by calls only",
    "Protocol": "services: the router speaks HTTP/1.1 only",
    "Sequence": "registrations: any change of the entry counts",
    "Tls": "services: the router speaks without TLS only",
    "WarmS": "services: what a move without handover costs is not weighed",
}
"""Names of the pages that the decoders leave out, and why."""

KINDS: Final = {
    "safe": routing.RequestKind.IDEMPOTENT,
    "unsafe": routing.RequestKind.NON_IDEMPOTENT,
    "upload": routing.RequestKind.UPLOAD,
    "download": routing.RequestKind.DOWNLOAD,
}
IDEMPOTENT_KINDS: Final = frozenset({"safe", "download"})
IS_DRAINING_BY_STATE: Final = {"ready": False, "draining": True}
REPLICATED_KINDS: Final = {
    "config": store.ObjectKind.CONFIGURATION,
    "evacuations": store.ObjectKind.EVACUATION,
    "rollouts": store.ObjectKind.ROLLOUT,
    "servers": store.ObjectKind.REGISTRATION,
}


class TestNames:
    """Each name of the pages is decoded, or left out for a reason."""

    @pytest.mark.parametrize(
        "record", NAMES_BY_RECORD, ids=lambda r: r.__name__
    )
    def test_fields(self, record: Any) -> None:
        """A record has the names of the pages and no others."""
        known = {field.encode_name for field in msgspec.structs.fields(record)}
        assert known == NAMES_BY_RECORD[record]

    def test_unused_names(self) -> None:
        """Services with all columns of the pages are decoded."""
        values = fields.make_values()
        spec = json.loads(fields.encode(values))
        spec["Services"]["Columns"] += ["Protocol", "Tls", "WarmS", "Grants"]
        for row in spec["Services"]["Rows"]:
            row += ["h1", False, 5.0, "call"]
        decoded = objects.decode_configuration(json.dumps(spec).encode())
        assert decoded == fields.decode(values)
        assert all(UNUSED_NAMES.values())


class TestWords:
    """Each kind and state of the pages has its meaning."""

    @pytest.mark.parametrize("word", KINDS)
    def test_kind(self, word: str) -> None:
        """A kind of requests is known, and whether they may be repeated."""
        values = fields.make_values()
        values["Routes"][0]["Kind"] = word
        kind = fields.decode(values).routes[0].kind
        assert kind is KINDS[word]
        assert kind.is_idempotent == (word in IDEMPOTENT_KINDS)

    def test_no_other_kind(self) -> None:
        """The decoder knows no kind that the pages don't name."""
        assert {kind.value for kind in routing.RequestKind} == set(KINDS)

    @pytest.mark.parametrize("word", IS_DRAINING_BY_STATE)
    def test_state(self, word: str) -> None:
        """A state of an upstream is known."""
        spec = {
            "Service": "x",
            "Address": "10.0.0.9:8080",
            "Zone": "a",
            "Version": "v1",
            "Slots": 6,
            "State": word,
            "WarmupLeftS": 0,
            "Sequence": 4,
            "born": 1788000000000,
        }
        registration = objects.decode_registration(
            store.StoredObject(
                kind=store.ObjectKind.REGISTRATION,
                name=ids.ObjectName("u1"),
                revision=ids.Revision(1),
                spec=json.dumps(spec).encode(),
            )
        )
        assert registration.is_draining == IS_DRAINING_BY_STATE[word]
        assert registration.version == "v1"

    @pytest.mark.parametrize("word", REPLICATED_KINDS)
    def test_object_kind(self, word: str) -> None:
        """A kind of objects is replicated."""
        path = names.PATHS_BY_KIND[REPLICATED_KINDS[word]]
        assert path == f"{names.PATH_OBJECTS}/{word}"
