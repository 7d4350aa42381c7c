"""TLS from files, reloaded without a restart."""

import datetime
import os
import ssl
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from OpenSSL import SSL

from umberhitch.adapters.tls import ReloadingContextFactory

DAY = datetime.timedelta(days=1)
NOW = datetime.datetime(2026, 12, 2)


def write_pair(folder: Path, name: str, stamp: int) -> tuple[Path, Path]:
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(stamp)
        .not_valid_before(NOW - DAY)
        .not_valid_after(NOW + 3650 * DAY)
        .sign(key, hashes.SHA256())
    )
    paths = folder / "cert.pem", folder / "key.pem"
    paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    for path in paths:
        os.utime(path, ns=(stamp * 10**9, stamp * 10**9))
    return paths


def offered_name(factory: ReloadingContextFactory) -> str:
    """Shake hands in memory and return the name in the certificate."""
    server = SSL.Connection(factory.getContext())
    server.set_accept_state()
    client_context = SSL.Context(SSL.TLS_CLIENT_METHOD)
    client = SSL.Connection(client_context)
    client.set_connect_state()
    for _ in range(10):
        for one, other in ((client, server), (server, client)):
            try:
                one.do_handshake()
            except SSL.WantReadError:
                pass
            try:
                other.bio_write(one.bio_read(65536))
            except SSL.WantReadError:
                pass
    certificate = client.get_peer_certificate(as_cryptography=True)
    return certificate.subject.get_attributes_for_oid(x509.NameOID.COMMON_NAME)[0].value


def test_a_new_certificate_is_offered_without_a_restart(tmp_path: Path) -> None:
    factory = ReloadingContextFactory(*write_pair(tmp_path, "first", 1000))
    assert offered_name(factory) == "first"
    write_pair(tmp_path, "second", 2000)
    assert offered_name(factory) == "second"


def test_files_that_cannot_be_used_leave_the_last_good_ones(tmp_path: Path) -> None:
    cert, key = write_pair(tmp_path, "first", 1000)
    factory = ReloadingContextFactory(cert, key)
    cert.write_text("nonsense")
    os.utime(cert, ns=(3 * 10**12, 3 * 10**12))
    assert offered_name(factory) == "first"
    cert.unlink()
    assert offered_name(factory) == "first"


def test_old_protocol_versions_are_refused(tmp_path: Path) -> None:
    factory = ReloadingContextFactory(*write_pair(tmp_path, "first", 1000))
    server = SSL.Connection(factory.getContext())
    server.set_accept_state()
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    context.maximum_version = ssl.TLSVersion.TLSv1_1
    with pytest.raises((ssl.SSLError, SSL.Error)):
        shake_hands(server, context)


def shake_hands(server: SSL.Connection, context: ssl.SSLContext) -> None:
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = context.wrap_bio(incoming, outgoing)
    for _ in range(5):
        try:
            client.do_handshake()
        except ssl.SSLWantReadError:
            pass
        server.bio_write(outgoing.read())
        try:
            server.do_handshake()
        except SSL.WantReadError:
            pass
        incoming.write(server.bio_read(65536))
