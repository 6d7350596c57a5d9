"""Certificate authority for tests and the demo."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

__all__ = ["CertificateAuthority"]

VALIDITY_DAYS = 7


def _distinguished_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


class CertificateAuthority:
    """Issue certificates for instances and write them to a folder."""

    def __init__(self, *, folder: Path, name: str = "authority"):
        self.folder = folder
        self.name = name
        self.key = ec.generate_private_key(ec.SECP256R1())
        folder.mkdir(parents=True, exist_ok=True)
        builder = self._builder(name, self.key).add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        self.certificate = builder.sign(self.key, hashes.SHA256())
        self.path = folder / f"{name}.pem"
        self.path.write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, instance: str) -> tuple[Path, Path]:
        """Issue a certificate and return the paths of its file and of the key's."""
        key = ec.generate_private_key(ec.SECP256R1())
        alternative_names = [
            x509.DNSName(instance),
            x509.IPAddress(ipaddress.ip_address("127.0.0.1")),
        ]
        builder = self._builder(instance, key).add_extension(
            x509.SubjectAlternativeName(alternative_names), critical=False
        )
        certificate = builder.sign(self.key, hashes.SHA256())
        certificate_path = self.folder / f"{instance}.pem"
        key_path = self.folder / f"{instance}.key"
        certificate_path.write_bytes(
            certificate.public_bytes(serialization.Encoding.PEM)
        )
        key_path.write_bytes(_pem(key))
        return certificate_path, key_path

    def flags(self, instance: str) -> tuple[str, ...]:
        """Issue a certificate and return the daemon's flags that select it."""
        certificate, key = self.issue(instance)
        return (
            f"--tls_certificate={certificate}",
            f"--tls_key={key}",
            f"--tls_authority={self.path}",
        )

    def _builder(
        self, subject: str, key: ec.EllipticCurvePrivateKey
    ) -> x509.CertificateBuilder:
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(_distinguished_name(subject))
            .issuer_name(_distinguished_name(self.name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(minutes=5))
            .not_valid_after(now + datetime.timedelta(days=VALIDITY_DAYS))
        )
