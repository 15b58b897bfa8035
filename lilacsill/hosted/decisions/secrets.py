"""Credentials: `ls_<id>_<secret>`, found by the id and verified by a digest.

The secret is 256 random bits, which cannot be guessed however cheap the hash is. SHA-256 over the token, compared in
constant time, is enough and costs a microsecond. A slow hash (argon2, RFC 9106) protects secrets that people choose;
here it would let anybody use 50 ms of the one core with a wrong token.
"""

from __future__ import annotations

import re
from base64 import urlsafe_b64encode
from dataclasses import dataclass
from hashlib import sha256
from hmac import compare_digest

ID_BYTES = 6
SECRET_BYTES = 32
TOKEN_PATTERN = re.compile(r"ls_([0-9a-f]{12})_([A-Za-z0-9_-]{43})")
"""The id in hexadecimal, and the secret in base64url without padding."""


@dataclass(slots=True, frozen=True)
class Token:
    """A token that a client presented: well-formed, and not yet verified."""

    id: str
    digest: str

    def matches(self, digest: str) -> bool:
        """Compare with a stored digest, in constant time."""
        return compare_digest(self.digest, digest)


def parse_token(text: str) -> Token | None:
    """Parse a token; None where it is malformed."""
    found = TOKEN_PATTERN.fullmatch(text)
    return Token(found[1], digest_of(text)) if found else None


def parse_bearer(header: str | None) -> Token | None:
    """Parse an Authorization header (RFC 6750, section 2.1); the name of the scheme may have any case."""
    if header is None:
        return None
    scheme, _, rest = header.partition(" ")
    return parse_token(rest.strip()) if scheme.lower() == "bearer" else None


def digest_of(token: str) -> str:
    """Compute the digest that is stored in place of a token."""
    return sha256(token.encode()).hexdigest()


def make_token(id_bytes: bytes, secret: bytes) -> tuple[str, str]:
    """Make the id and the complete token from `ID_BYTES` and `SECRET_BYTES` random bytes."""
    assert len(id_bytes) == ID_BYTES and len(secret) == SECRET_BYTES
    credential_id = id_bytes.hex()
    return credential_id, f"ls_{credential_id}_{urlsafe_b64encode(secret).rstrip(b'=').decode()}"
