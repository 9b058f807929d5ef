import datetime
import os

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from chivesaddle.core.settings import Tls
from chivesaddle.daemon.tls import ReloadingContextFactory


def write_certificate_and_key(folder, version):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "chivesaddle")])
    start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(version)
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
        os.utime(folder / file, (version, version))


@pytest.fixture
def tls(tmp_path):
    write_certificate_and_key(tmp_path, 1)
    return Tls(certificate=tmp_path / "cert.pem", key=tmp_path / "key.pem")


class TestReloadingContextFactory:
    def test_new_connections_use_changed_files(self, tls, tmp_path):
        """Guards against using an expired certificate until a restart."""
        factory = ReloadingContextFactory(tls)
        before = factory.getContext()
        write_certificate_and_key(tmp_path, 2)
        assert factory.getContext() is not before

    def test_unchanged_files_are_not_loaded_again(self, tls):
        factory = ReloadingContextFactory(tls)
        assert factory.getContext() is factory.getContext()

    def test_the_last_certificate_is_kept_if_files_are_invalid(self, tls, tmp_path):
        """Guards against an outage when a renewal has written only part of a file."""
        factory = ReloadingContextFactory(tls)
        before = factory.getContext()
        (tmp_path / "cert.pem").write_text("incomplete")
        assert factory.getContext() is before
