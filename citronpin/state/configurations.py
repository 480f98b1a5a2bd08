"""The configuration that is in force on an entry."""

import logging
from collections.abc import Callable

from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import CONFIG_STREAM, ApplicationName, DeploymentName, Offset
from citronpin.state.logs import States
from citronpin.state.manifests import ApplicationManifest, Customer, DeploymentManifest
from citronpin.state.states import ConfigState

logger = logging.getLogger(__name__)


class Configuration:
    """Indexes the manifests of the folded state; a new state replaces all at once."""

    def __init__(self, *, states: States, recorder: Recorder) -> None:
        self._states = states
        self._recorder = recorder
        self._state = ConfigState()
        self.deployments: dict[DeploymentName, DeploymentManifest] = {}
        self.applications: dict[ApplicationName, ApplicationManifest] = {}
        self.customers: dict[str, Customer] = {}  # by key digest
        self._change_callbacks: list[Callable[[], None]] = []
        states.subscribe(CONFIG_STREAM, self._on_state)
        states.follow(CONFIG_STREAM)

    @property
    def state(self) -> ConfigState:
        """Return the folded state of the configuration stream that is in force."""
        return self._state

    @property
    def booted(self) -> bool:
        """Return whether the stream was read to its head since the entry started."""
        return self._states.is_current(CONFIG_STREAM)

    @property
    def offset(self) -> Offset:
        """Return the offset of the last record that is in force."""
        return self._state.offset

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` whenever the manifests in force have changed."""
        self._change_callbacks.append(callback)

    def _on_state(self, stream, state: ConfigState, verdicts) -> None:
        changed = state.manifests != self._state.manifests
        self._state = state
        for verdict in verdicts:
            if not verdict.accepted:
                self._recorder.note(
                    EventKind.CONFIG_REJECTED,
                    f"{verdict.record}: {verdict.reason}",
                    stream=stream,
                    offset=verdict.offset,
                )
        if changed:
            self._rebuild_indexes(state)
            self._recorder.note(
                EventKind.CONFIG_IN_FORCE,
                f"{len(state.manifests)} manifests",
                stream=stream,
                offset=state.offset,
            )
            for callback in self._change_callbacks:
                callback()

    def _rebuild_indexes(self, state: ConfigState) -> None:
        customers = {
            digest: customer
            for manifest in state.customer_sets().values()
            for customer in manifest.customers
            for digest in customer.key_digests
        }
        self.deployments = state.deployments()
        self.applications = state.applications()
        self.customers = customers

    def view(self) -> dict:
        """Return the offset and the scopes in force, for the admin page."""
        return {
            "offset": self._state.offset,
            "booted": self.booted,
            "scopes": {
                scope: accepted.offset
                for scope, accepted in sorted(self._state.manifests.items())
            },
        }
