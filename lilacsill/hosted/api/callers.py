"""Authentication of the API's callers and what each may see and do. Failed logins are limited by address."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ..decisions.directory import Directory
from ..decisions.refusals import Refusal
from ..decisions.secrets import parse_bearer
from ..resources import Role
from .problems import Problem

MAX_FAILURES_PER_S = 0.5
"""Failed logins of one address a second, on average."""
FAILURE_BURST = 10.0
"""Failed logins of one address at once."""
MAX_ADDRESSES = 4096
"""Addresses with failed logins that are remembered."""
SECOND_US = 1_000_000


@dataclass(slots=True, frozen=True)
class Caller:
    """The caller of one request."""

    id: str
    """The id of its credential."""
    role: Role
    tenant: str | None
    """The tenant of a tenant admin; None for operators and auditors."""

    def need(self, *roles: Role) -> None:
        """Check that the caller has one of these roles.

        Raises:
            Problem: 403, it has another role.
        """
        if self.role not in roles:
            raise Problem(403, f"a credential of role {self.role.value} may not do this")

    def sees_tenant(self, name: str) -> bool:
        """Say whether a tenant is visible. To a tenant admin the other tenants do not exist."""
        return self.tenant is None or self.tenant == name


@dataclass(slots=True)
class FailedLogins:
    """The failed logins of one address: a token bucket of further attempts."""

    tokens: float
    updated_us: int
    blocked_until_us: int = 0


class Logins:
    """Authenticates callers. The clock is in microseconds and given by the caller."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._failed: OrderedDict[str, FailedLogins] = OrderedDict()  # by address, the oldest failure first

    def caller(self, authorization: str | None, address: str, now_us: int) -> Caller:
        """Authenticate a caller.

        Args:
            authorization: The Authorization header.
            address: The address of the client.
            now_us: The time.

        Raises:
            Problem: 401, the credential is missing or not known; 403, it is one of a client; 429, the address had too
                many failed logins.
        """
        failed = self._failed.get(address)
        if failed is not None and failed.blocked_until_us > now_us:
            wait_s = (failed.blocked_until_us - now_us) / SECOND_US
            raise Problem(429, "too many failed logins from this address", {"Retry-After": f"{max(1, round(wait_s))}"})
        spec = self._directory.credential(authorization)
        if isinstance(spec, Refusal):
            self._record_failure(address, now_us)
            raise Problem(401, spec.detail, {"WWW-Authenticate": 'Bearer realm="lilacsill"'})
        if spec.role is Role.CLIENT:
            raise Problem(403, "this credential is for requests, not for the administration API")
        token = parse_bearer(authorization)
        assert token is not None
        return Caller(token.id, spec.role, spec.tenant)

    def _record_failure(self, address: str, now_us: int) -> None:
        failed = self._failed.pop(address, None) or FailedLogins(FAILURE_BURST, now_us)
        refill = MAX_FAILURES_PER_S * (now_us - failed.updated_us) / SECOND_US
        failed.tokens = min(FAILURE_BURST, failed.tokens + refill) - 1.0
        failed.updated_us = now_us
        if failed.tokens < 0:
            failed.blocked_until_us = now_us + int(SECOND_US / MAX_FAILURES_PER_S)
            failed.tokens = 0.0
        self._failed[address] = failed
        while len(self._failed) > MAX_ADDRESSES:
            self._failed.popitem(last=False)
