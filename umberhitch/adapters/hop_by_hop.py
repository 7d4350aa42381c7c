"""Which headers go on from one connection to the next."""

from umberhitch.ports.direct import HeaderList

__all__ = ["pass_on"]

ONE_CONNECTION = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only (RFC 9110, 7.6.1)."""
END_TO_END = frozenset({b"host", b"content-length", b"content-type", b"content-encoding", b"date"})
"""Headers that a message needs on its whole way. A sender must not name them in ``Connection``
(RFC 9110, 7.6.1); where one does, the message goes on with them."""


def pass_on(
    headers: HeaderList,
    dropped: frozenset[bytes] = frozenset(),
    kept: frozenset[bytes] = frozenset(),
) -> HeaderList:
    """Return the headers that go on.

    Parameters
    ----------
    headers : list of (bytes, bytes)
    dropped : frozenset of bytes
        Names, in lowercase, that do not go on either.
    kept : frozenset of bytes
        Names, in lowercase, that go on though the message names them in ``Connection``.
    """
    named = _connection_options(headers) - END_TO_END - kept
    out = []
    for name, value in headers:
        lowered = name.lower()
        if lowered not in ONE_CONNECTION and lowered not in named and lowered not in dropped:
            out.append((name, value))
    return out


def _connection_options(headers: HeaderList) -> set[bytes]:
    """Return the names of the headers that concern this connection only, by the message itself."""
    return {
        option.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for option in value.split(b",")
    }
