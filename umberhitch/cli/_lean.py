"""Keeps out of a process what it never uses: of an agent's memory, of a router's start."""

import sys
from importlib.util import LazyLoader, find_spec, module_from_spec

__all__ = ["keep_out_tls", "put_off_imports"]


def keep_out_tls() -> None:
    """Let Twisted and PyJWT find no TLS library, as on a host where none is installed.

    An agent speaks plain HTTP to the endpoint beside it and CurveZMQ to routers, and verifies
    session tokens by HMAC. The libraries import TLS whenever they find it, which costs 12 MB of the
    64 that an agent may use. Must run before either is imported; with an endpoint at an ``https``
    address it is not called.
    """
    for name in ("OpenSSL", "cryptography"):
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]


def put_off_imports() -> None:
    """Let modules that a router never uses be loaded at their first use, which does not come.

    Twisted imports the cookies of HTTP for programs that once found them there; with the clients of
    HTTP and mail that they bring they are a twentieth of a router's start. Must run before Twisted
    is imported.
    """
    package, name = "http", "cookiejar"
    spec = find_spec(f"{package}.{name}")
    if spec is None or spec.loader is None or spec.name in sys.modules:
        return
    spec.loader = LazyLoader(spec.loader)
    module = module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    # Found as the package's attribute it is not looked at, and so not loaded, by an import.
    setattr(sys.modules[package], name, module)
