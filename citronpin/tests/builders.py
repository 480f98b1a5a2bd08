"""Builders of records and manifests that several test modules share."""

from citronpin.ids import NO_OFFSET
from citronpin.manifests import DeploymentManifest, scope_of
from citronpin.records import ConfigChange, ScopeChange


def deployment(name="rota", **fields):
    """Return a small deployment manifest."""
    known = dict(name=name, model="m", version="1", groups=2, members=2)
    return DeploymentManifest(**(known | fields))


def change(*manifests, base=NO_OFFSET):
    """Return a change of the scopes of the manifests from one base."""
    return ConfigChange(
        changes=tuple(ScopeChange(scope_of(m), base, m) for m in manifests)
    )
