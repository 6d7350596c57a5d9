"""Who may be a peer, over real links with mutual TLS."""

import asyncio
import tempfile
from pathlib import Path

from linnetladder.coordination.peers.links import choose_neighbours
from linnetladder.coordination.peers.messages import Hello, Neighbour
from standins.certificates import Authority
from tests.support.site import DOMAINS, LocalSite


def with_site(scenario):
    async def run():
        site = LocalSite(daemons=1)
        await site.start()
        try:
            await scenario(site)
        finally:
            await site.stop()

    asyncio.run(run())


async def add_stranger(site, *, authority: Authority, certified: str):
    """Start a daemon that knows daemon 1 and has a certificate of our choosing."""
    certificate, key = authority.issue(certified)
    record = site.daemons[0].registration.record
    stranger = await site.add_daemon(
        "daemon-9",
        DOMAINS[1],
        seed_peers=(f"{record.instance}@{record.peer_address}",),
    )
    transport = stranger.parts.peer_transport
    transport.certificates = type(transport.certificates)(
        certificate=certificate, key=key, authority=site.authority.path
    )
    for link in tuple(stranger.parts.peers.links.values()):
        link.close("test")
    for link in tuple(site.daemons[0].parts.peers.links.values()):
        link.close("test")
    site.daemons[0].parts.peers.known.clear()
    return stranger


def test_another_authoritys_certificate_opens_no_link():
    async def scenario(site):
        with tempfile.TemporaryDirectory() as folder:
            other = Authority(folder=Path(folder), name="other")
            stranger = await add_stranger(site, authority=other, certified="daemon-9")
            await asyncio.sleep(2.5)
            first = site.daemons[0].parts.peers
            accepted = [
                link for link in first.links.values() if link.dialer == "daemon-9"
            ]
            assert accepted == []
            assert stranger.parts.metrics.value("configuration_installs") <= 1

    with_site(scenario)


def test_a_certificate_of_another_instance_is_cut_off():
    async def scenario(site):
        await add_stranger(site, authority=site.authority, certified="daemon-7")
        metrics = site.daemons[0].parts.metrics
        await site.wait_for(
            lambda: metrics.value("rejected_peers", label="certificate") > 0
        )
        links = site.daemons[0].parts.peers.links.values()
        assert [link for link in links if link.dialer == "daemon-9"] == []

    with_site(scenario)


def test_links_stay_few_and_reach_every_failure_domain():
    known = [
        Neighbour(f"d{n}", f"domain-{n % 5}", f"127.0.0.1:{n}") for n in range(370)
    ]
    dialed: dict[str, int] = {}
    for neighbour in known:
        own = Hello(
            instance=neighbour.instance,
            incarnation="i",
            failure_domain=neighbour.failure_domain,
            peer_address="",
        )
        chosen = choose_neighbours(own, known)
        assert {n.failure_domain for n in chosen} == {f"domain-{d}" for d in range(5)}
        assert len(chosen) <= 6
        for other in chosen:
            dialed[other.instance] = dialed.get(other.instance, 0) + 1
    assert max(dialed.values()) <= 24
