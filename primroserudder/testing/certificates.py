"""Certificates of a temporary certificate authority, for TLS tests."""

import datetime
import ipaddress
import pathlib
from dataclasses import dataclass

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from ..process.settings import TlsFiles

VALID_DAYS = 3650
BEGIN = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
LOOPBACK = ipaddress.ip_address('127.0.0.1')


@dataclass(frozen=True, slots=True)
class Authority:
    """A certificate authority that signs for the loopback address."""

    folder: pathlib.Path
    name: str
    key: ec.EllipticCurvePrivateKey

    @property
    def certificate_file(self) -> pathlib.Path:
        """Return the file of the authority's own certificate."""
        return self.folder / f'{self.name}.pem'

    def issue(self, name: str) -> TlsFiles:
        """Write a certificate and its key; the settings require mutual TLS."""
        key = ec.generate_private_key(ec.SECP256R1())
        signed = _builder(name, self.name, key)
        alternative = x509.SubjectAlternativeName([x509.IPAddress(LOOPBACK)])
        signed = signed.add_extension(alternative, critical=False)
        certificate = self.folder / f'{name}.pem'
        _write_certificate(signed.sign(self.key, hashes.SHA256()), certificate)
        key_file = self.folder / f'{name}.key'
        key_file.write_bytes(_key_pem(key))
        return TlsFiles(
            certificate=certificate,
            key=key_file,
            client_ca=self.certificate_file,
        )


def make_authority(folder: pathlib.Path, name: str) -> Authority:
    """Return a new authority and write its certificate to the folder."""
    key = ec.generate_private_key(ec.SECP256R1())
    constraints = x509.BasicConstraints(ca=True, path_length=0)
    signed = _builder(name, name, key).add_extension(
        constraints,
        critical=True,
    )
    authority = Authority(folder, name, key)
    _write_certificate(
        signed.sign(key, hashes.SHA256()),
        authority.certificate_file,
    )
    return authority


def _builder(
    subject: str,
    issuer: str,
    key: ec.EllipticCurvePrivateKey,
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(BEGIN)
        .not_valid_after(BEGIN + datetime.timedelta(days=VALID_DAYS))
    )


def _name(common: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common)])


def _write_certificate(
    certificate: x509.Certificate,
    path: pathlib.Path,
) -> None:
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))


def _key_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
