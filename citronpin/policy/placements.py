"""Placement policies: how many groups of a deployment each fabric domain has."""

import logging

from citronpin.basics.ids import DeploymentName, DomainName
from citronpin.policy.plans import PlacementPolicy
from citronpin.state.manifests import DeploymentManifest

logger = logging.getLogger(__name__)

PLACEMENTS: dict[str, type[PlacementPolicy]] = {}
Quotas = dict[DomainName, dict[DeploymentName, int]]


def register(policy: type[PlacementPolicy]) -> type[PlacementPolicy]:
    """Register a placement policy by the name that settings use."""
    PLACEMENTS[policy.name] = policy
    return policy


@register
class EvenPlacement(PlacementPolicy):
    """Spreads groups evenly over the allowed domains, as far as each has room.

    A group that serves stays where it is while its domain may keep it, so the loss
    of one domain moves no group of another.
    """

    name = "even"

    def quotas(self, *, deployments, capacity, serving):
        left = dict(capacity)
        quotas: Quotas = {domain: {} for domain in sorted(capacity)}
        ordered = sorted(deployments, key=lambda wanted: wanted.name)
        for wanted in ordered:
            self._keep(wanted, left, serving, quotas)
        for wanted in ordered:
            self._spread(wanted, left, quotas)
        return quotas

    def _keep(self, wanted: DeploymentManifest, left, serving, quotas: Quotas) -> None:
        """Keep serving groups, first those of the domains that have the fewest."""
        domains = _allowed(wanted, left)
        kept = 0
        while kept < wanted.groups:
            open_domains = [
                domain
                for domain in domains
                if _count(quotas, domain, wanted)
                < serving.get(domain, {}).get(wanted.name, 0)
                and left[domain] >= wanted.members
            ]
            if not open_domains:
                return
            _take(wanted, _least(open_domains, wanted, left, quotas), left, quotas)
            kept += 1

    def _spread(self, wanted: DeploymentManifest, left, quotas: Quotas) -> None:
        domains = _allowed(wanted, left)
        have = sum(_count(quotas, domain, wanted) for domain in domains)
        for _ in range(wanted.groups - have):
            roomy = [domain for domain in domains if left[domain] >= wanted.members]
            if not roomy:
                logger.warning("no domain has room for %s", wanted.name)
                return
            _take(wanted, _least(roomy, wanted, left, quotas), left, quotas)


def _allowed(wanted: DeploymentManifest, capacity) -> list[DomainName]:
    if not wanted.domains:
        return sorted(capacity)
    return sorted(domain for domain in wanted.domains if domain in capacity)


def _count(quotas: Quotas, domain: DomainName, wanted: DeploymentManifest) -> int:
    return quotas[domain].get(wanted.name, 0)


def _least(domains, wanted: DeploymentManifest, left, quotas: Quotas) -> DomainName:
    return min(
        domains,
        key=lambda domain: (_count(quotas, domain, wanted), -left[domain], domain),
    )


def _take(wanted: DeploymentManifest, domain: DomainName, left, quotas) -> None:
    quotas[domain][wanted.name] = _count(quotas, domain, wanted) + 1
    left[domain] -= wanted.members
