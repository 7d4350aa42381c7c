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


def pass_on(
    headers: HeaderList, connection: bytes, dropped: frozenset[bytes] = frozenset()
) -> HeaderList:
    """Return the headers that go on.

    Parameters
    ----------
    headers : list of (bytes, bytes)
    connection : bytes
        Value of the header that names others which concern this connection only.
    dropped : frozenset of bytes
        Names, in lowercase, that do not go on either.
    """
    named = {item.strip().lower() for item in connection.split(b",")}
    out = []
    for name, value in headers:
        lowered = name.lower()
        if lowered not in ONE_CONNECTION and lowered not in named and lowered not in dropped:
            out.append((name, value))
    return out
