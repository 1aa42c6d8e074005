"""Divides limited capacity of a front end between tenants, in proportion to their shares. Free of I/O.

What is served first come, first served belongs to whichever tenant floods it. There are two measures against that,
both weighted by the tenants' shares and both without effect where no tenants are configured:

- SharedCapacity, for a limited number of units: a tenant may hold no more than the free units times its weight
  (Choudhury and Hahne's dynamic threshold). A tenant alone gets about half of all; the others always find the rest.
- shares_to_refuse(), where a share of all calls must be refused: max-min fairness. A tenant that asks for less than
  its share is admitted in full, and the others are limited to one common level.

Where tenants are configured, calls that name none of them count as one more tenant, which has what the shares leave.
"""
from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from threadshift.interface import Tenant

NO_TENANT = ""
MIN_SHARE = 0.02           # of calls without a tenant, so that they are not shut out
MIN_UNITS = 4              # that any tenant may hold while some are free, as the limit may be small


def weights(tenants: Iterable[Tenant]) -> dict[str, float]:
    """Each tenant's share divided by the mean share; empty where there are no tenants."""
    shares = {each.name: max(each.share, MIN_SHARE) for each in tenants}
    if not shares:
        return {}
    shares[NO_TENANT] = max(MIN_SHARE, 1 - sum(shares.values()))
    mean = sum(shares.values()) / len(shares)
    return {name: share / mean for name, share in shares.items()}


def tenant_key(tenant: str, tenant_weights: Mapping[str, float]) -> str:
    """The name that a call counts under: NO_TENANT for names that are not configured."""
    return tenant if tenant in tenant_weights else NO_TENANT


class SharedCapacity:
    """A limited number of units, held by tenants. What a unit is, such as a call or a byte, is up to the owner."""

    def __init__(self, limit: int, tenant_weights: Mapping[str, float]):
        self.limit, self.tenant_weights = limit, tenant_weights
        self.used_by: Counter[str] = Counter()
        self.used = 0

    def key(self, tenant: str) -> str:
        return tenant_key(tenant, self.tenant_weights)

    def has_room(self, tenant: str) -> bool:
        """Whether this tenant may take one more unit."""
        free, key = self.limit - self.used, self.key(tenant)
        return free > 0 and (not self.tenant_weights
                             or self.used_by[key] < max(MIN_UNITS, free * self.tenant_weights[key]))

    def relative_use(self, tenant: str) -> float:
        """What the tenant holds divided by its weight, to compare tenants."""
        key = self.key(tenant)
        return self.used_by[key] / self.tenant_weights.get(key, 1.0)

    def acquire(self, tenant: str, amount: int = 1) -> None:
        self.used_by[self.key(tenant)] += amount
        self.used += amount

    def release(self, tenant: str, amount: int = 1) -> None:
        self.acquire(tenant, -amount)


def shares_to_refuse(demand: Mapping[str, float], tenant_weights: Mapping[str, float],
                   refused_share: float) -> dict[str, float]:
    """The share of each tenant's calls to refuse, so that `refused_share` of all calls is refused."""
    admitted = (1 - refused_share) * sum(demand.values())
    level, shares, remaining = 0.0, {}, sorted(demand, key=lambda name: demand[name] / tenant_weights[name])
    while remaining:
        level = admitted / sum(tenant_weights[name] for name in remaining)
        if demand[remaining[0]] > level * tenant_weights[remaining[0]]:
            break
        name = remaining.pop(0)
        shares[name] = 0.0
        admitted -= demand[name]
    return shares | {name: 1 - level * tenant_weights[name] / demand[name] for name in remaining}
