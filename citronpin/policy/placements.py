"""Placement policies: the target number of groups in each fabric domain."""

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
    """Distributes groups evenly over the allowed domains that have capacity.

    A serving group stays in its domain while the domain is allowed and has capacity,
    so that the loss of one domain moves no group of another.
    """

    name = "even"

    def quotas(self, *, deployments, capacity, serving):
        capacity_left = dict(capacity)
        quotas: Quotas = {domain: {} for domain in sorted(capacity)}
        ordered = sorted(deployments, key=lambda deployment: deployment.name)
        for deployment in ordered:
            self._keep_serving(deployment, capacity_left, serving, quotas)
        for deployment in ordered:
            self._place_missing(deployment, capacity_left, quotas)
        return quotas

    def _keep_serving(
        self, deployment: DeploymentManifest, capacity_left, serving, quotas: Quotas
    ) -> None:
        """Add serving groups to the quotas, domains with the fewest groups first."""
        domains = _allowed_domains(deployment, capacity_left)
        kept = 0
        while kept < deployment.groups:
            candidates = [
                domain
                for domain in domains
                if _quota(quotas, domain, deployment)
                < serving.get(domain, {}).get(deployment.name, 0)
                and capacity_left[domain] >= deployment.members
            ]
            if not candidates:
                return
            _place_group(
                deployment,
                _least_used(candidates, deployment, capacity_left, quotas),
                capacity_left,
                quotas,
            )
            kept += 1

    def _place_missing(
        self, deployment: DeploymentManifest, capacity_left, quotas: Quotas
    ) -> None:
        domains = _allowed_domains(deployment, capacity_left)
        placed = sum(_quota(quotas, domain, deployment) for domain in domains)
        for _ in range(deployment.groups - placed):
            candidates = [
                domain
                for domain in domains
                if capacity_left[domain] >= deployment.members
            ]
            if not candidates:
                logger.warning(
                    "no allowed fabric domain has capacity for another group of %s",
                    deployment.name,
                )
                return
            _place_group(
                deployment,
                _least_used(candidates, deployment, capacity_left, quotas),
                capacity_left,
                quotas,
            )


def _allowed_domains(deployment: DeploymentManifest, capacity) -> list[DomainName]:
    if not deployment.domains:
        return sorted(capacity)
    return sorted(domain for domain in deployment.domains if domain in capacity)


def _quota(quotas: Quotas, domain: DomainName, deployment: DeploymentManifest) -> int:
    return quotas[domain].get(deployment.name, 0)


def _least_used(
    domains, deployment: DeploymentManifest, capacity_left, quotas: Quotas
) -> DomainName:
    return min(
        domains,
        key=lambda domain: (
            _quota(quotas, domain, deployment),
            -capacity_left[domain],
            domain,
        ),
    )


def _place_group(
    deployment: DeploymentManifest, domain: DomainName, capacity_left, quotas
) -> None:
    quotas[domain][deployment.name] = _quota(quotas, domain, deployment) + 1
    capacity_left[domain] -= deployment.members
