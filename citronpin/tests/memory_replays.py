"""Replay of large prompts on instances whose memory fits half of their slots."""

import math

from citronpin.benches.crowds import ENGINE, OVERHEAD_S, CrowdCase, CrowdGroup, CrowdRun
from citronpin.gateway.token_memories import ReportedMemory

MEAN_PROMPT, MAX_PROMPT, SIGMA = 2_000, 8_000, 0.8
TICK_S = 0.05
STEP_S = 0.6 * (ENGINE.step_s + 4 * ENGINE.step_per_writer_s)  # with some writers


class TokenCase(CrowdCase, frozen=True, kw_only=True):
    """Parameters of one run; ``fill`` is the share of the memory that arrivals need."""

    slots: tuple[int, ...] = (10,) * 30 + (24,) * 15
    fill: float = 0.3
    mean_answer: float = 800.0  # tokens, which take about five seconds
    length_s: float = 16.0
    warm_up_s: float = 6.0


class TokenGroup(CrowdGroup):
    """A group that runs a request per slot and preempts the newest without memory."""

    def __init__(self, **fields):
        super().__init__(**fields)
        mean_tokens = MEAN_PROMPT + self.run.case.mean_answer / 2
        self.memory_tokens = round(self.slots / 2 * mean_tokens)
        self.started = {}  # by request, when it was, and the tokens it has written

    @property
    def used_tokens(self):
        return sum(request.prompt + self._written(request) for request in self.running)

    def _written(self, request):
        began_s, first_s, last_s = self.started[request]
        share = (self.run.clock.now() - began_s - first_s) / (last_s - first_s)
        return int(request.answer * min(max(share, 0.0), 1.0))

    def _fill(self):
        before = set(self.running)
        super()._fill()
        for request in self.running:
            if request not in before:
                times = request.times(len(self.running), self.pace)
                self.started[request] = (self.run.clock.now(), *times)
        self.check()

    def check(self):
        """Preempt the newest requests until the others fit, and count them."""
        while self.used_tokens > self.memory_tokens:
            request = list(self.running)[-1]
            del self.running[request]
            self.run.count(request, "preempted")
            self.run.clock.call_later(0.0, request.on_lost)

    def progress(self):
        """Tell the entries of the tokens that were written since the last tick."""
        for request in self.running:
            written = self._written(request)
            if request.placement.held is not None:
                for _ in range(written - request.written):
                    request.placement.held.progressed(now_s=self.run.clock.now())
            request.written = written


class TokenRun(CrowdRun):
    """Replay under slots only, or under the memory that reports tell."""

    def __init__(self, *, case, policy, seed, has_memory):
        super().__init__(case=case, policy=policy, seed=seed)
        self.fills = []  # of the memory of all groups
        for name, group in self.groups.items():
            self.groups[name] = TokenGroup(
                run=self, name=name, slots=group.slots, pace=group.pace
            )
        duration_s = OVERHEAD_S + STEP_S * case.mean_answer
        self.rate = case.fill * sum(case.slots) / 2 / duration_s
        if has_memory:
            for entry in self.entries:
                entry.placer._memory = ReportedMemory(loads=entry.loads)

    def draw_tokens(self, mean):
        if mean != ENGINE.mean_prompt_tokens:
            return super().draw_tokens(self.case.mean_answer)
        drawn = self.rng.lognormvariate(math.log(MEAN_PROMPT) - SIGMA**2 / 2, SIGMA)
        return min(max(int(drawn), 1), MAX_PROMPT)

    def run(self):
        self._tick()
        return super().run()

    def _tick(self):
        self.clock.call_later(TICK_S, self._tick)
        for group in self.groups.values():
            group.progress()
            group.check()
        if self.is_counting:
            used = sum(group.used_tokens for group in self.groups.values())
            memory = sum(group.memory_tokens for group in self.groups.values())
            self.fills.append(used / memory)

    @property
    def preempted(self):
        """Return the preempted answers per request."""
        return self.counts["preempted"] / self.counts["requests"]

    @property
    def fill(self):
        """Return the mean share of the memory that is used."""
        return sum(self.fills) / len(self.fills)
