"""Session tokens, which pin a customer's session to one version.

A token is a JSON Web Token (RFC 7519) signed with HMAC-SHA256 and a key of the configuration. Every
router and agent can verify it, and none has to store it.
"""

from dataclasses import dataclass

import jwt

from umberhitch.config import Config, SigningKey
from umberhitch.errors import SessionError

__all__ = ["Session", "read_session_token", "sign_session_token"]

ALGORITHM = "HS256"


@dataclass(frozen=True, slots=True)
class Session:
    """A session, pinned to one version until it expires."""

    session_id: str
    customer: str
    target: str
    expires_s: float
    """Time of expiry in seconds since the epoch."""


def sign_session_token(session: Session, config: Config) -> str:
    """Return a signed token for the session.

    Raises
    ------
    SessionError
        If the configuration has no signing key.
    """
    keys = [key for key in config.keys.values() if key.signs]
    if not keys:
        raise SessionError("no signing key is configured")
    key = max(keys, key=lambda candidate: candidate.name)
    claims = {
        "jti": session.session_id,
        "sub": session.customer,
        "ver": session.target,
        "exp": session.expires_s,
    }
    return jwt.encode(claims, key.secret, algorithm=ALGORITHM, headers={"kid": key.name})


def read_session_token(token: str, config: Config, now_s: float) -> Session:
    """Return the session of a token.

    Raises
    ------
    SessionError
        If the token is malformed, forged, expired, or signed with a key that is not configured.
    """
    key = _key_of(token, config)
    try:
        claims = jwt.decode(
            token,
            key.secret,
            algorithms=[ALGORITHM],
            options={"require": ["jti", "sub", "ver", "exp"], "verify_exp": False},
        )
        session = Session(claims["jti"], claims["sub"], claims["ver"], float(claims["exp"]))
    except (jwt.InvalidTokenError, TypeError, ValueError) as exc:
        raise SessionError(f"invalid session token: {exc}") from exc
    if session.expires_s <= now_s:
        raise SessionError("the session has expired")
    return session


def _key_of(token: str, config: Config) -> SigningKey:
    try:
        name = jwt.get_unverified_header(token).get("kid")
    except jwt.InvalidTokenError as exc:
        raise SessionError(f"invalid session token: {exc}") from exc
    key = config.keys.get(name) if isinstance(name, str) else None
    if key is None:
        raise SessionError("the session token is signed with an unknown key")
    return key
