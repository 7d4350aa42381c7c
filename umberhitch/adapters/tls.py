"""TLS for callers and operators, from files that are read anew when they change."""

from logging import getLogger
from pathlib import Path

from OpenSSL import SSL
from twisted.internet.ssl import ContextFactory

__all__ = ["ReloadingContextFactory"]

log = getLogger(__name__)


class ReloadingContextFactory(ContextFactory):
    """Offers the certificate and key that the files hold at the time of a connection.

    Files that cannot be used leave the last good ones in use.

    Parameters
    ----------
    certificate : Path
        Certificate chain in PEM.
    key : Path
        Private key in PEM.

    Raises
    ------
    OpenSSL.SSL.Error, OSError
        If the files cannot be used at the start.
    """

    def __init__(self, certificate: Path, key: Path) -> None:
        self._certificate = certificate
        self._key = key
        self._stamp = self._read_stamp()
        self._context = self._load()

    def _read_stamp(self) -> tuple[int, int]:
        return self._certificate.stat().st_mtime_ns, self._key.stat().st_mtime_ns

    def _load(self) -> SSL.Context:
        context = SSL.Context(SSL.TLS_SERVER_METHOD)
        context.set_min_proto_version(SSL.TLS1_2_VERSION)
        context.use_certificate_chain_file(str(self._certificate))
        context.use_privatekey_file(str(self._key))
        context.check_privatekey()
        return context

    def getContext(self) -> SSL.Context:
        """Return the context for a new connection."""
        try:
            stamp = self._read_stamp()
            if stamp != self._stamp:
                self._stamp = stamp
                self._context = self._load()
                log.info("certificate reloaded", extra={"certificate": str(self._certificate)})
        except (SSL.Error, OSError) as exc:
            log.error("certificate not reloaded", extra={"error": repr(exc)})
        return self._context
