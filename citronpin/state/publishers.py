"""Publishes manifests to the log and reports whether they were accepted."""

import logging
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from citronpin.basics.clocks import Clock
from citronpin.basics.errors import CitronpinError, LogUnavailable, SettingsError
from citronpin.basics.ids import CONFIG_STREAM, Offset, RecordId, new_id
from citronpin.state.config_folds import MAX_PARTS, scope_base
from citronpin.state.followers import Followers
from citronpin.state.manifest_files import ManifestFile
from citronpin.state.manifests import scope_of
from citronpin.state.records import ConfigChange, ConfigPart, ScopeChange
from citronpin.state.states import ConfigState
from citronpin.web.clients import BufferedSink, HttpClient

logger = logging.getLogger(__name__)

MAX_PART_BYTES = 96 * 1024
POLL_INTERVAL_S = 0.05
CONFIGURATION_PATH = "/admin/configuration"


class PublishResult(msgspec.Struct, frozen=True):
    """Verdict on a published change and the offset of the record that decided it."""

    offset: Offset
    accepted: bool
    reason: str = ""


PublishCallback = Callable[[Result[PublishResult, CitronpinError]], None]


def scope_changes(
    file: ManifestFile, state: ConfigState, base: Offset | None
) -> tuple[ScopeChange, ...]:
    """Return the scope changes of a file that was made from the offset ``base``.

    Each change states the offset of the scope's latest change as its own base, or
    ``base`` if the scope changed after it, so that the fold rejects the change.
    Without a ``base`` the file counts as made from the current configuration.
    """
    targets = [(scope_of(manifest), manifest) for manifest in file.manifests]
    targets += [(scope, None) for scope in file.remove]
    changes = []
    for scope, manifest in targets:
        latest = scope_base(state, scope)
        change_base = latest if base is None or latest <= base else base
        changes.append(ScopeChange(scope, change_base, manifest))
    return tuple(changes)


def change_items(
    changes: tuple[ScopeChange, ...], author: str
) -> Result[list, SettingsError]:
    """Return a change as one item, or as parts if it is too large for a record.

    The result is an error if one scope exceeds ``MAX_PART_BYTES`` or the change
    needs more than ``MAX_PARTS`` records.
    """
    groups: list[list[ScopeChange]] = [[]]
    size_bytes = 0
    for change in changes:
        change_bytes = len(msgspec.msgpack.encode(change))
        if change_bytes > MAX_PART_BYTES:
            detail = f"{change.scope} has {change_bytes} bytes, over {MAX_PART_BYTES}."
            return Err(SettingsError(detail, remedy="Split it into several scopes."))
        if groups[-1] and size_bytes + change_bytes > MAX_PART_BYTES:
            groups.append([])
            size_bytes = 0
        groups[-1].append(change)
        size_bytes += change_bytes
    if len(groups) == 1:
        return Ok([ConfigChange(changes=changes, author=author)])
    if len(groups) > MAX_PARTS:
        detail = f"The change needs {len(groups)} records, over {MAX_PARTS}."
        return Err(SettingsError(detail, remedy="Publish it as several changes."))
    change_id = RecordId(new_id())
    return Ok(
        [
            ConfigPart(change_id, number, len(groups), tuple(group), author)
            for number, group in enumerate(groups)
        ]
    )


class Publisher:
    """Publishes one file; ``done`` is called once with the verdict or an error.

    ``timeout_s`` limits the seconds until the configuration is read to the head of
    its stream; ``followers`` limits the time that the verdict may take.
    """

    def __init__(
        self,
        *,
        followers: Followers,
        clock: Clock,
        file: ManifestFile,
        base: Offset | None,
        author: str,
        timeout_s: float,
        done: PublishCallback,
    ) -> None:
        self._followers = followers
        self._file = file
        self._base = base
        self._author = author
        self._done = done
        self._remaining_items: list = []
        self._is_done_waiting = False
        self._read_timer = clock.call_later(timeout_s, self._on_read_timeout)

    def start(self) -> None:
        """Follow the configuration stream and publish when it is current."""
        self._followers.subscribe(
            CONFIG_STREAM, lambda *args: self._publish_when_current()
        )
        self._followers.follow(CONFIG_STREAM)
        self._publish_when_current()

    def _publish_when_current(self) -> None:
        if self._is_done_waiting or not self._followers.is_current(CONFIG_STREAM):
            return
        self._is_done_waiting = True
        self._read_timer.cancel()
        state = self._followers.state(CONFIG_STREAM)
        result = change_items(
            scope_changes(self._file, state, self._base), self._author
        )
        if isinstance(result, Err):
            self._done(result)
            return
        self._remaining_items = result.ok_value
        self._propose()

    def _on_read_timeout(self) -> None:
        self._is_done_waiting = True
        self._done(Err(LogUnavailable("The log could not be read in time.")))

    def _propose(self) -> None:
        item = self._remaining_items.pop(0)
        self._followers.propose(CONFIG_STREAM, (item,), self._on_verdict)

    def _on_verdict(self, result) -> None:
        if isinstance(result, Err):
            self._done(result)
            return
        verdict = result.ok_value[0]
        if verdict.accepted and self._remaining_items:
            self._propose()
            return
        self._done(Ok(PublishResult(verdict.offset, verdict.accepted, verdict.reason)))


class InForceWatch:
    """Polls entries until each has an offset in force or ``timeout_s`` has passed.

    ``done`` is called once with the entries that did not report the offset or a
    later one, and with the seconds since this object was made.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        clock: Clock,
        entries: tuple[str, ...],
        offset: Offset,
        timeout_s: float,
        done: Callable[[list[str], float], None],
    ) -> None:
        self._client = client
        self._clock = clock
        self._pending_entries = list(entries)
        self._offset = offset
        self._started_s = clock.now()
        self._deadline_s = self._started_s + timeout_s
        self._done = done
        self._is_finished = False

    def start(self) -> None:
        """Start to poll every entry."""
        self._clock.call_later(self._deadline_s - self._clock.now(), self._finish)
        if not self._pending_entries:
            self._finish()
        for entry in list(self._pending_entries):
            self._poll_entry(entry)

    def _poll_entry(self, entry: str) -> None:
        if self._is_finished:
            return
        self._client.request(
            address=entry,
            method="GET",
            target=CONFIGURATION_PATH,
            sink=BufferedSink(
                done=lambda response, exc: self._on_response(entry, response)
            ),
            timeout_s=max(self._deadline_s - self._clock.now(), POLL_INTERVAL_S),
        )

    def _on_response(self, entry: str, response) -> None:
        if response is not None and _parse_offset(response) >= self._offset:
            self._pending_entries.remove(entry)
            if not self._pending_entries:
                self._finish()
            return
        self._clock.call_later(POLL_INTERVAL_S, lambda: self._poll_entry(entry))

    def _finish(self) -> None:
        if not self._is_finished:
            self._is_finished = True
            self._done(self._pending_entries, self._clock.now() - self._started_s)


def _parse_offset(response) -> int:
    """Return the offset in an entry's response, or -1 if it has none."""
    status, _, body = response
    try:
        offset = msgspec.json.decode(body)["offset"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        return -1
    return offset if status == 200 and isinstance(offset, int) else -1
