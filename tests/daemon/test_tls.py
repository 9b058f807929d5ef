import datetime
import os

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from chivesaddle.core.settings import Tls
from chivesaddle.daemon.tls import ReloadingContextFactory


def write_pair(folder, stamp):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "chivesaddle")])
    start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(stamp)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=3650))
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "cert.pem").write_bytes(certificate.public_bytes(pem))
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    for file in ("cert.pem", "key.pem"):
        os.utime(folder / file, (stamp, stamp))


@pytest.fixture
def tls(tmp_path):
    write_pair(tmp_path, 1)
    return Tls(certificate=tmp_path / "cert.pem", key=tmp_path / "key.pem")


class TestReloadingContextFactory:
    def test_changed_files_give_new_connections_a_new_context(self, tls, tmp_path):
        """Guards against serving an expired certificate until a restart."""
        factory = ReloadingContextFactory(tls)
        before = factory.getContext()
        write_pair(tmp_path, 2)
        assert factory.getContext() is not before

    def test_unchanged_files_are_not_loaded_again(self, tls):
        factory = ReloadingContextFactory(tls)
        assert factory.getContext() is factory.getContext()

    def test_broken_files_keep_the_last_certificate(self, tls, tmp_path):
        """Guards against an outage when a renewal writes a half-finished file."""
        factory = ReloadingContextFactory(tls)
        before = factory.getContext()
        (tmp_path / "cert.pem").write_text("half")
        assert factory.getContext() is before
