"""Authentication of peers over real links with mutual TLS, and choice of peers."""

import asyncio
import tempfile
from pathlib import Path

from linnetladder.coordination.peers.links import choose_neighbours
from linnetladder.coordination.peers.messages import Hello, Neighbour
from standins.certificates import CertificateAuthority
from tests.support.site import DOMAINS, LocalSite


def run_with_site(scenario):
    async def run():
        site = LocalSite(daemons=1)
        await site.start()
        try:
            await scenario(site)
        finally:
            await site.stop()

    asyncio.run(run())


async def add_untrusted_daemon(
    site, *, authority: CertificateAuthority, certificate_name: str
):
    """Start daemon 9, which dials daemon 1 with a certificate for the given name."""
    certificate, key = authority.issue(certificate_name)
    record = site.daemons[0].registration.record
    untrusted = await site.add_daemon(
        "daemon-9",
        DOMAINS[1],
        seed_peers=(f"{record.instance}@{record.peer_address}",),
    )
    transport = untrusted.parts.peer_transport
    transport.certificates = type(transport.certificates)(
        certificate=certificate, key=key, authority=site.authority.path
    )
    for link in tuple(untrusted.parts.peers.links.values()):
        link.close("test")
    for link in tuple(site.daemons[0].parts.peers.links.values()):
        link.close("test")
    site.daemons[0].parts.peers.known_peers.clear()
    return untrusted


def test_certificate_of_another_authority_is_rejected():
    async def scenario(site):
        with tempfile.TemporaryDirectory() as folder:
            other = CertificateAuthority(folder=Path(folder), name="other")
            untrusted = await add_untrusted_daemon(
                site, authority=other, certificate_name="daemon-9"
            )
            await asyncio.sleep(2.5)
            first_peers = site.daemons[0].parts.peers
            accepted = [
                link for link in first_peers.links.values() if link.dialer == "daemon-9"
            ]
            assert accepted == []
            assert untrusted.parts.metrics.value("configuration_installs") <= 1

    run_with_site(scenario)


def test_certificate_of_another_instance_is_rejected():
    async def scenario(site):
        await add_untrusted_daemon(
            site, authority=site.authority, certificate_name="daemon-7"
        )
        metrics = site.daemons[0].parts.metrics
        await site.wait_for(
            lambda: metrics.value("rejected_peers", label="certificate") > 0
        )
        links = site.daemons[0].parts.peers.links.values()
        assert [link for link in links if link.dialer == "daemon-9"] == []

    run_with_site(scenario)


def test_links_stay_few_and_reach_every_failure_domain():
    known_peers = [
        Neighbour(f"d{n}", f"domain-{n % 5}", f"127.0.0.1:{n}") for n in range(370)
    ]
    dialed: dict[str, int] = {}
    for neighbour in known_peers:
        own = Hello(
            instance=neighbour.instance,
            incarnation="i",
            failure_domain=neighbour.failure_domain,
            peer_address="",
        )
        chosen = choose_neighbours(own, known_peers)
        assert {n.failure_domain for n in chosen} == {f"domain-{d}" for d in range(5)}
        assert len(chosen) <= 6
        for other in chosen:
            dialed[other.instance] = dialed.get(other.instance, 0) + 1
    assert max(dialed.values()) <= 24
