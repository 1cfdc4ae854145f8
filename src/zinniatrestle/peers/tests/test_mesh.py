"""Tests of the links between entry hosts."""

import asyncio

import pytest
from common.hosts import AREQUIPA, LIMA, HostCluster, wait_until
from common.virtual import run

from zinniatrestle.configuration.messages import DomainState, SetDomain
from zinniatrestle.errors import PeerError, ResultCode
from zinniatrestle.ids import HostId
from zinniatrestle.peers.framing import FrameStream, PeerIdentity, dial_handshake
from zinniatrestle.peers.state import PeerState


def state_of(cluster: HostCluster, host: str, peer: str) -> PeerState:
    return cluster.hosts[host].mesh.peers[HostId(peer)].state


def test_peers_report_each_other_as_live():
    async def scenario():
        cluster = await HostCluster.start([LIMA, AREQUIPA])
        for name, host in cluster.hosts.items():
            for peer in host.mesh.peers.values():
                assert peer.state is PeerState.LIVE, name

    run(scenario())


@pytest.mark.parametrize(
    ("name", "key"),
    [("lima-2", b"another-key"), ("stranger", b"cluster-key-of-the-test")],
)
def test_host_with_a_wrong_key_or_name_fails_the_handshake(name, key):
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        port = cluster.ports["lima-1"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        identity = PeerIdentity(HostId(name), LIMA, "boot", key)
        with pytest.raises(PeerError):
            await dial_handshake(
                FrameStream(reader, writer), identity, HostId("lima-1")
            )

    run(scenario())


def test_leaving_and_killed_peers_are_distinguished():
    async def scenario():
        cluster = await HostCluster.start([LIMA, AREQUIPA])
        leaving = cluster.hosts["lima-2"]
        await leaving.leave()
        assert state_of(cluster, "lima-1", "lima-2") is PeerState.LEAVING
        await cluster.kill("arequipa-1")
        await wait_until(
            lambda: state_of(cluster, "lima-1", "arequipa-1") is PeerState.DEAD, 6
        )
        assert state_of(cluster, "lima-1", "arequipa-2") is PeerState.LIVE

    run(scenario())


def test_configuration_is_pulled_from_a_peer_while_the_store_is_down():
    async def scenario():
        cluster = await HostCluster.start([LIMA])
        await cluster.kill("lima-2")
        revision = await cluster.change(SetDomain(LIMA, DomainState.IN))
        cluster.faults.outage = True
        await cluster.boot("lima-2")
        restarted = cluster.hosts["lima-2"]
        assert not restarted.ready
        refused = await cluster.request("lima-2")
        assert refused.code is ResultCode.NO_CONFIGURATION
        await wait_until(lambda: restarted.follower.state.revision == revision, 4)
        assert restarted.ready
        answer = await cluster.request("lima-2")
        assert answer.code is ResultCode.OK

    run(scenario())


def test_request_is_forwarded_only_when_its_own_domain_is_out():
    async def scenario():
        cluster = await HostCluster.start([LIMA, AREQUIPA])
        for _ in range(20):
            await cluster.request("lima-1")
        local_runs = [run for run in cluster.minions.runs]
        assert cluster.hosts["lima-1"].mesh.cross_region_bytes == 0
        await cluster.change(SetDomain(LIMA, DomainState.OUT))
        await asyncio.sleep(2)
        answer = await cluster.request("lima-1")
        assert answer.code is ResultCode.OK
        assert len(cluster.minions.runs) == len(local_runs) + 1
        assert cluster.hosts["lima-1"].mesh.cross_region_bytes > 0
        assert b"arequipa" in answer.body

    run(scenario())
