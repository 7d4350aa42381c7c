"""Keeps out of an agent's memory what an agent never uses."""

import sys

__all__ = ["keep_out_tls"]


def keep_out_tls() -> None:
    """Let Twisted and PyJWT find no TLS library, as on a host where none is installed.

    An agent speaks plain HTTP to the endpoint beside it and CurveZMQ to routers, and verifies
    session tokens by HMAC. The libraries import TLS whenever they find it, which costs 12 MB of the
    64 that an agent may use. Must run before either is imported; with an endpoint at an ``https``
    address it is not called.
    """
    for name in ("OpenSSL", "cryptography"):
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
