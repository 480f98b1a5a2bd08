"""Publishes manifests and learns from the log what became of them."""

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
from citronpin.web.clients import HttpClient, WholeSink

logger = logging.getLogger(__name__)

PART_BYTES = 96 * 1024
POLL_S = 0.05
CONFIGURATION_PATH = "/admin/configuration"


class PublishResult(msgspec.Struct, frozen=True):
    """The verdict on a change and the offset at which it was given."""

    offset: Offset
    accepted: bool
    reason: str = ""


PublishCallback = Callable[[Result[PublishResult, CitronpinError]], None]


def scope_changes(
    file: ManifestFile, state: ConfigState, base: Offset | None
) -> tuple[ScopeChange, ...]:
    """Return the changes of a file made from the configuration at ``base``.

    ``None`` stands for the current configuration. A scope that was changed after
    ``base`` keeps ``base`` as its own, so that the fold rejects the change.
    """
    wanted = [(scope_of(manifest), manifest) for manifest in file.manifests]
    wanted += [(scope, None) for scope in file.remove]
    changes = []
    for scope, manifest in wanted:
        known = scope_base(state, scope)
        made_from = known if base is None or known <= base else base
        changes.append(ScopeChange(scope, made_from, manifest))
    return tuple(changes)


def change_items(
    changes: tuple[ScopeChange, ...], author: str
) -> Result[list, SettingsError]:
    """Return one change, or the parts of one that is too large for a record."""
    groups: list[list[ScopeChange]] = [[]]
    size = 0
    for change in changes:
        change_bytes = len(msgspec.msgpack.encode(change))
        if change_bytes > PART_BYTES:
            detail = f"{change.scope} has {change_bytes} bytes, over {PART_BYTES}."
            return Err(SettingsError(detail, remedy="Split it into several scopes."))
        if groups[-1] and size + change_bytes > PART_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(change)
        size += change_bytes
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
    """Publishes one file; ``done`` is called once with the verdict or an error."""

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
        self._items: list = []
        self._begun = False
        self._timer = clock.call_later(timeout_s, self._expire)

    def start(self) -> None:
        """Begin to read the configuration; publish when it is read to the head."""
        self._followers.subscribe(CONFIG_STREAM, lambda *args: self._begin())
        self._followers.follow(CONFIG_STREAM)
        self._begin()

    def _begin(self) -> None:
        if self._begun or not self._followers.is_current(CONFIG_STREAM):
            return
        self._begun = True
        self._timer.cancel()
        state = self._followers.state(CONFIG_STREAM)
        result = change_items(
            scope_changes(self._file, state, self._base), self._author
        )
        if isinstance(result, Err):
            self._done(result)
            return
        self._items = result.ok_value
        self._propose()

    def _expire(self) -> None:
        self._begun = True
        self._done(Err(LogUnavailable("The log could not be read in time.")))

    def _propose(self) -> None:
        item = self._items.pop(0)
        self._followers.propose(CONFIG_STREAM, (item,), self._on_verdict)

    def _on_verdict(self, result) -> None:
        if isinstance(result, Err):
            self._done(result)
            return
        verdict = result.ok_value[0]
        if verdict.accepted and self._items:
            self._propose()
            return
        self._done(Ok(PublishResult(verdict.offset, verdict.accepted, verdict.reason)))


class InForceWatch:
    """Asks entries until each reports an offset in force, or the time is over.

    ``done`` is told the entries that did not report it, and the seconds taken.
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
        self._missing = list(entries)
        self._offset = offset
        self._begun_s = clock.now()
        self._end_s = self._begun_s + timeout_s
        self._done = done
        self._ended = False

    def start(self) -> None:
        """Ask every entry."""
        self._clock.call_later(self._end_s - self._clock.now(), self._finish)
        if not self._missing:
            self._finish()
        for entry in list(self._missing):
            self._ask(entry)

    def _ask(self, entry: str) -> None:
        if self._ended:
            return
        self._client.request(
            address=entry,
            method="GET",
            target=CONFIGURATION_PATH,
            sink=WholeSink(done=lambda got, exc: self._on_answer(entry, got)),
            timeout_s=max(self._end_s - self._clock.now(), POLL_S),
        )

    def _on_answer(self, entry: str, got) -> None:
        if got is not None and _offset_of(got) >= self._offset:
            self._missing.remove(entry)
            if not self._missing:
                self._finish()
            return
        self._clock.call_later(POLL_S, lambda: self._ask(entry))

    def _finish(self) -> None:
        if not self._ended:
            self._ended = True
            self._done(self._missing, self._clock.now() - self._begun_s)


def _offset_of(got) -> int:
    """Return the offset in an entry's answer, or -1."""
    status, _, body = got
    try:
        offset = msgspec.json.decode(body)["offset"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        return -1
    return offset if status == 200 and isinstance(offset, int) else -1
