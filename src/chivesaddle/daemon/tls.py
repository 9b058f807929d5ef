"""TLS for the HTTP listeners; reloads the certificate when its files change."""

from OpenSSL import SSL, crypto
from twisted.internet.ssl import CertificateOptions, ContextFactory, TLSVersion

from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.settings import Tls

log = ComponentLogger("tls")


class ReloadingContextFactory(ContextFactory):
    """Provides new connections with a TLS context for the current certificate files.

    Open connections keep their context. If the files cannot be read or certificate and
    key do not match, the last valid certificate stays in use.

    Parameters
    ----------
    tls : Tls
        Paths of the certificate chain and the key in PEM format.

    Raises
    ------
    OSError, OpenSSL.crypto.Error, OpenSSL.SSL.Error
        If the files cannot be loaded when the factory is created.
    """

    def __init__(self, tls: Tls) -> None:
        self._tls = tls
        self._loaded_mtimes = self._read_mtimes()
        self._context = self._load_context()

    def getContext(self) -> SSL.Context:  # noqa: N802
        """Return the context for one new connection."""
        try:
            mtimes = self._read_mtimes()
            if mtimes != self._loaded_mtimes:
                self._context = self._load_context()
                self._loaded_mtimes = mtimes
                log.info("certificate reloaded")
        except (OSError, crypto.Error, SSL.Error) as error:
            log.error(
                "certificate reload failed, keeping the previous certificate: %s", error
            )
        return self._context

    def _read_mtimes(self) -> tuple[int, int]:
        return (
            self._tls.certificate.stat().st_mtime_ns,
            self._tls.key.stat().st_mtime_ns,
        )

    def _load_context(self) -> SSL.Context:
        options = CertificateOptions(raiseMinimumTo=TLSVersion.TLSv1_2)
        context = options.getContext()
        context.use_certificate_chain_file(str(self._tls.certificate))
        context.use_privatekey_file(str(self._tls.key))
        context.check_privatekey()
        return context


__all__ = ["ReloadingContextFactory"]
