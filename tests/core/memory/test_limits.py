"""Tests of the limits that follow from the machine."""

import dataclasses

import pytest

from dragonflyshelf.core import ids
from dragonflyshelf.core.memory import account
from dragonflyshelf.core.memory import limits
from dragonflyshelf.core import settings

MACHINES = [(160.0, 1638), (300.0, 4100), (552.0, 10250)]
"""Memory in MiB and descriptors of machines of the pages."""


def make_settings(memory_mb: float, descriptors: int) -> settings.Settings:
    """Return the settings of a machine."""
    return settings.Settings(
        instance=settings.InstanceSettings(
            name=ids.InstanceId("one"),
            data_centre=ids.DataCentreId("a"),
            memory_mb=memory_mb,
            descriptors=descriptors,
        )
    )


class TestMachines:
    """The limits fit into the machine and leave room for callers."""

    @pytest.mark.parametrize(("memory_mb", "descriptors"), MACHINES)
    def test_descriptors(self, memory_mb: float, descriptors: int) -> None:
        """All connections together leave descriptors for upstreams."""
        derived = limits.derive(make_settings(memory_mb, descriptors))
        used = (
            derived.caller_connections
            + derived.refused_connections
            + 2 * derived.health_connections
        )
        rest = descriptors - limits.FILE_DESCRIPTOR_COUNT - used
        assert rest >= (descriptors - limits.FILE_DESCRIPTOR_COUNT) / 8

    @pytest.mark.parametrize(("memory_mb", "descriptors"), MACHINES)
    def test_share(self, memory_mb: float, descriptors: int) -> None:
        """A share holds the window of a body in both directions."""
        config = make_settings(memory_mb, descriptors)
        derived = limits.derive(config)
        assert derived.share_bytes >= 2 * config.requests.window_bytes
        assert derived.sum_bytes >= 16 * derived.share_bytes

    def test_smallest_machine(self) -> None:
        """Memory for callers without large bodies isn't short first."""
        derived = limits.derive(make_settings(*MACHINES[0]))
        needed_bytes = derived.caller_connections * account.CONNECTION_BYTES
        assert needed_bytes < derived.sum_bytes

    def test_given_sum(self) -> None:
        """A sum in the settings goes first."""
        config = make_settings(300.0, 4100)
        requests = settings.RequestSettings(held_bytes=8 * settings.MIB)
        config = dataclasses.replace(config, requests=requests)
        assert limits.derive(config).sum_bytes == 8 * settings.MIB
