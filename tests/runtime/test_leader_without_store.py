"""Tests of instances whose leader alone has lost the store."""

import asyncio
import collections
import itertools
import time

import pytest

from bench.soak import proxy
from dragonflyshelf.core.grantor import lease
from dragonflyshelf.core import ids
from dragonflyshelf.core.store import messages as store
from dragonflyshelf.runtime.gateway import server
from tests.runtime import deployment as deployments
from tests.runtime import test_gateway

PROMISED_SECONDS = 2.0
"""Shortest promise of the sites for drains and configurations."""

SETTLE_SECONDS = 2.0
"""Time in which followers stop watching the store."""

SUCCESSOR_DELAY_SECONDS = 0.1
OTHER_TAKEOVER_DELAY_SECONDS = 2.4
"""Delay with which most of 65 instances try to take over a lease."""

LEAVING_INDEX = 0
"""Index of the upstream that leaves."""


def has_left(instance: server.Server, name: str) -> bool:
    """Return whether an instance knows that an upstream leaves."""
    registrations = instance.control.known_values(
        store.ObjectKind.REGISTRATION
    )
    return any(
        registration.id == ids.UpstreamId(name) and registration.is_draining
        for registration in registrations
    )


def knows_version(instance: server.Server, version: int) -> bool:
    """Return whether a configuration is in force at an instance."""
    configurations = instance.control.known_values(
        store.ObjectKind.CONFIGURATION
    )
    return any(
        configuration.version == version for configuration in configurations
    )


@pytest.fixture(autouse=True)
def spread_takeovers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let one instance take over soon and the others late.

    An instance that tries learns of the new leader from the conflict, so
    that a few instances would all learn of it at once.
    """
    delays = itertools.chain(
        [SUCCESSOR_DELAY_SECONDS] * 2,
        itertools.repeat(OTHER_TAKEOVER_DELAY_SECONDS),
    )
    delay_by_manager = collections.defaultdict(lambda: next(delays))
    monkeypatch.setattr(
        lease.LeaseManager,
        "_takeover_delay",
        property(lambda manager: delay_by_manager[manager]),
    )


async def async_refuse_leader(
    deployment: deployments.Deployment, mode: proxy.Mode
) -> list[server.Server]:
    """Cut the leader off from the store; return the other instances.

    The configuration is confirmed at all instances just before.
    """
    (leader,) = test_gateway.find_leaders(deployment)
    for version in range(2, 6):
        deployment.store_configuration(version, [deployments.CALLER_KEY])
        await test_gateway.async_wait_until(
            lambda version=version: all(
                knows_version(instance, version)
                for instance in deployment.servers
            )
        )
    leader_index = deployment.servers.index(leader)
    deployment.store_proxies[leader_index].set_mode(mode)
    return [
        instance for instance in deployment.servers if instance is not leader
    ]


class TestLeaderWithoutStore:
    """Followers do not rely on a leader that cannot see the store."""

    @pytest.mark.parametrize("mode", [proxy.Mode.RESET, proxy.Mode.SILENT])
    def test_drain_and_configuration_are_seen_in_time(
        self, mode: proxy.Mode
    ) -> None:
        """DRAIN and CONFIG on blixt-gw-grown, leader refused by the store."""

        async def async_check() -> None:
            async with test_gateway.async_run_ready_deployment(
                4
            ) as deployment:
                await test_gateway.async_wait_until(
                    lambda: len(test_gateway.find_leaders(deployment)) == 1
                )
                await asyncio.sleep(SETTLE_SECONDS)
                others = await async_refuse_leader(deployment, mode)
                changed_at = time.monotonic()
                deployment.drain_upstream(LEAVING_INDEX)
                deployment.store_configuration(9, [deployments.CALLER_KEY])
                name = deployment.upstreams[LEAVING_INDEX].name
                await test_gateway.async_wait_until(
                    lambda: all(
                        has_left(instance, name) and knows_version(instance, 9)
                        for instance in others
                    )
                )
                assert time.monotonic() - changed_at < PROMISED_SECONDS

        asyncio.run(async_check())
