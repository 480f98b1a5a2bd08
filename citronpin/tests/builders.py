"""Shared builders of manifests, configuration changes, followers and faulty logs."""

import numpy as np
from result import Err, Ok

from citronpin.basics.errors import LogUnavailable, Outcome
from citronpin.basics.events import EventKind, Recorder
from citronpin.basics.ids import NO_OFFSET, EntryId
from citronpin.state.followers import Followers
from citronpin.state.http_logs import READ_MARGIN_S
from citronpin.state.logs import LogClient, MemoryLog
from citronpin.state.manifests import (
    Customer,
    CustomersManifest,
    DeploymentManifest,
    scope_of,
)
from citronpin.state.records import ConfigChange, ScopeChange

DIGEST = "a" * 64


def deployment(name="rota", **fields):
    """Return a small deployment manifest."""
    defaults = dict(name=name, model="m", version="1", groups=2, members=2)
    return DeploymentManifest(**(defaults | fields))


def customers(name="export", *, keys=(DIGEST,), customer="port-louis", **fields):
    """Return a manifest with one customer."""
    one = Customer(name=customer, key_digests=tuple(keys), **fields)
    return CustomersManifest(name=name, customers=(one,))


def change(*manifests, base=NO_OFFSET):
    """Return a change that sets all manifests, each from the same base offset."""
    return ConfigChange(
        changes=tuple(ScopeChange(scope_of(m), base, m) for m in manifests)
    )


def build_followers(log, clock, name="entry-1", **more):
    """Return followers with their event recorder as the attribute ``recorder``."""
    recorder = Recorder(process=name, clock=clock)
    followers = Followers(
        log=log,
        entry=EntryId(name),
        clock=clock,
        recorder=recorder,
        rng=np.random.default_rng(7),
        **more,
    )
    followers.recorder = recorder
    return followers


def alarms(followers):
    """Return the alarm events that the followers recorded."""
    return [e for e in followers.recorder.since() if e.kind is EventKind.ALARM]


class FaultyLog(LogClient):
    """A client of a `MemoryLog` with faults that a test sets."""

    def __init__(self, *, log: MemoryLog, clock) -> None:
        self.log = log
        self.clock = clock
        self.down = False  # appends and reads fail, not run
        self.silent = False  # reads fail
        self.long_polls_to_lose = 0  # next reads that wait and get no answer
        self.answers_to_lose = 0  # next appends that take effect but report a fault
        self.held_appends: list = []  # held until release() is called
        self.appends_to_hold = 0  # next appends that take effect only on release()
        self.long_poll_delay_s = 0.0  # of the answers to reads that wait
        self.appends_to_refuse = 0  # next appends that fail, not run
        self.calls = 0  # of append()
        self.reads: list = []  # (stream, wait in s) of each read()

    def append(self, *, stream, payload, done):
        self.calls += 1
        if self.down or self.appends_to_refuse:
            self.appends_to_refuse -= not self.down
            self._fail(done, Outcome.NOT_RUN)
        elif self.appends_to_hold:
            self.appends_to_hold -= 1
            self.held_appends.append((stream, payload))
            self._fail(done, Outcome.UNKNOWN)
        elif self.answers_to_lose:
            self.answers_to_lose -= 1
            self.log.put(stream, payload)
            self._fail(done, Outcome.UNKNOWN)
        else:
            self.log.append(stream=stream, payload=payload, done=done)

    def release(self):
        """Append the payloads that were held back."""
        for stream, payload in self.held_appends:
            self.log.put(stream, payload)
        self.held_appends = []

    def read(self, *, stream, start, wait_s, done, limit=500):
        self.reads.append((stream, wait_s))
        if self.down or self.silent:
            self._fail(done, Outcome.NOT_RUN)
            return
        if wait_s and self.long_polls_to_lose:
            self.long_polls_to_lose -= 1
            timed_out = Err(LogUnavailable("no answer in time"))
            self.clock.call_later(wait_s + READ_MARGIN_S, lambda: done(timed_out))
            return
        self.log.read(
            stream=stream,
            start=start,
            wait_s=wait_s,
            limit=limit,
            done=lambda result: self._answer(wait_s, done, result),
        )

    def _answer(self, wait_s, done, result):
        if not wait_s or not self.long_poll_delay_s:
            done(self._break_answer(result))
            return
        self.clock.call_later(
            self.long_poll_delay_s, lambda: done(self._break_answer(result))
        )

    def _break_answer(self, result):
        broken = self.down or self.silent
        return Err(LogUnavailable("cut")) if broken else Ok(result.ok_value)

    def _fail(self, done, outcome):
        error = LogUnavailable("fault", outcome=outcome)
        self.clock.call_later(0.0, lambda: done(Err(error)))
