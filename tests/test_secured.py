"""Instances with TLS for callers and CURVE between peers."""

from __future__ import annotations

import datetime
import ipaddress
import pathlib
import re
import ssl

import aiohttp
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from tealcove.commands import keys
from tests import callers, deployment

# Dropped heartbeats of a stranger before its failure is established: 20 per seed.
MANY_BEATS = 140


def make_certificate(folder: pathlib.Path, hosts: list[str]) -> dict[str, str]:
    """Write a self-signed certificate for IP addresses; return the files' paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "tealcove test")])
    now = datetime.datetime.now(datetime.UTC)
    numbers = [x509.IPAddress(ipaddress.ip_address(host)) for host in hosts]
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName(numbers), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    paths = {name: folder / f"{name}.pem" for name in ("certificate", "key")}
    pem = serialization.Encoding.PEM
    paths["certificate"].write_bytes(certificate.public_bytes(pem))
    form = serialization.PrivateFormat.PKCS8
    plain = serialization.NoEncryption()
    paths["key"].write_bytes(key.private_bytes(pem, form, plain))
    return {name: str(path) for name, path in paths.items()}


class Secured:
    """A deployment whose instances use HTTPS, and a client that trusts them."""

    def __init__(self, running: deployment.Deployment, folder: pathlib.Path) -> None:
        self.running = running
        self.hosts = [f"{running.network}.{150 + number}" for number in range(3)]
        self.tls = make_certificate(folder, self.hosts)
        trust = ssl.create_default_context(cafile=self.tls["certificate"])
        connector = aiohttp.TCPConnector(ssl=trust)
        self.session = aiohttp.ClientSession(connector=connector)

    async def add(self, curve: keys.CurvePair) -> str:
        """Start an instance and return its URL once it accepts requests."""
        host = self.hosts[len(self.running.instances)]
        await self.running.add_instance(
            http={"host": host, "port": deployment.HTTP_PORT, "tls": self.tls},
            peer={"host": host, "port": deployment.PEER_PORT, "curve": curve},
        )
        url = f"https://{host}:{deployment.HTTP_PORT}"

        async def is_ready() -> bool:
            try:
                return await self.get(f"{url}/readyz") == "serving\n"
            except aiohttp.ClientConnectorError:
                return False

        await deployment.until(is_ready)
        return url

    async def get(self, url: str) -> str:
        async with self.session.get(url) as response:
            return await response.text()

    async def counted(self, url: str, name: str) -> float:
        """Return the number of messages to peers that were sent or dropped."""
        shown = await self.get(f"{url}/metrics")
        return float(
            re.search(rf"^tealcove_mesh_{name}_total\S* (\S+)$", shown, re.M)[1]
        )

    async def members(self, url: str) -> list[str]:
        """Return the sorted URLs of the entry points that an instance lists."""
        async with self.session.get(f"{url}/v1/entry-points") as response:
            if response.status != 200:
                return []
            points = (await response.json())["entry_points"]
        return sorted(point["url"] for point in points)


async def test_only_instances_with_the_key_work_together(
    tmp_path: pathlib.Path,
) -> None:
    async with deployment.Deployment(tmp_path) as running:
        await running.add_engine()
        await running.declare()
        secured = Secured(running, tmp_path)
        async with secured.session:
            own = keys.generate().curve
            urls = [await secured.add(own) for _ in range(2)]

            async def know_each_other() -> bool:
                return all([await secured.members(url) == urls for url in urls])

            await deployment.until(know_each_other)
            stranger = await secured.add(keys.generate().curve)

            async def has_tried() -> bool:
                return await secured.counted(stranger, "dropped") > MANY_BEATS

            await deployment.until(has_tried)
            assert await secured.counted(stranger, "sent") == 0
            assert [await secured.members(url) for url in urls] == [urls, urls]
            assert await secured.members(stranger) == [stranger]
            for number, url in enumerate(urls):
                prompt = f"prompt {number}"
                reply = await callers.complete(secured.session, url, prompt)
                assert callers.is_own_answer(reply, prompt, 8)
            with pytest.raises(aiohttp.ClientError):
                await secured.get(urls[0].replace("https", "http") + "/readyz")
