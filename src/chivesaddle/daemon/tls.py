"""TLS for the HTTP listeners, with certificates reloaded when their files change."""

from OpenSSL import SSL, crypto
from twisted.internet.ssl import CertificateOptions, ContextFactory, TLSVersion

from chivesaddle.core.logs import PartLogger
from chivesaddle.core.settings import Tls

log = PartLogger("tls")


class ReloadingContextFactory(ContextFactory):
    """Gives each new connection a context of the current certificate files.

    Open connections keep theirs. Files that cannot be read or do not match leave the
    last good certificate in use.

    Parameters
    ----------
    tls : Tls
        Paths of certificate chain and key, both PEM.

    Raises
    ------
    OSError, OpenSSL.crypto.Error, OpenSSL.SSL.Error
        If the files cannot be loaded at the start.
    """

    def __init__(self, tls: Tls) -> None:
        self._tls = tls
        self._stamp = self._current_stamp()
        self._context = self._load()

    def getContext(self) -> SSL.Context:  # noqa: N802
        """Return the context for one new connection."""
        try:
            stamp = self._current_stamp()
            if stamp != self._stamp:
                self._context = self._load()
                self._stamp = stamp
                log.info("certificate reloaded")
        except (OSError, crypto.Error, SSL.Error) as error:
            log.error("certificate not reloaded, the last one stays: %s", error)
        return self._context

    def _current_stamp(self) -> tuple[int, int]:
        return (
            self._tls.certificate.stat().st_mtime_ns,
            self._tls.key.stat().st_mtime_ns,
        )

    def _load(self) -> SSL.Context:
        options = CertificateOptions(raiseMinimumTo=TLSVersion.TLSv1_2)
        context = options.getContext()
        context.use_certificate_chain_file(str(self._tls.certificate))
        context.use_privatekey_file(str(self._tls.key))
        context.check_privatekey()
        return context


__all__ = ["ReloadingContextFactory"]
