"""Processes of one simulated time, each with an event loop of its own.

One loop for all can't show that a single process stands still while time and the others
go on. Here each process has a loop that runs one iteration when it is due, unless the
process is paused: what is due meanwhile runs late, in the loop's usual order.
"""

import asyncio
import heapq
import itertools
import math
import selectors

from foxtailbank_bench.simulated_loop import LoopClock

MAX_CLOSING_STEPS = 10_000


class _NoSelector(selectors.DefaultSelector):
    """Selector that neither waits nor looks: there are no sockets."""

    def select(self, timeout=None):
        return []


class _ProcessLoop(asyncio.SelectorEventLoop):
    def __init__(self, process):
        self._process = process
        super().__init__(_NoSelector())

    def time(self):
        return self._process.now_s


class Process:
    """A process that runs one coroutine function.

    `now_s` is the time until which it has run or is paused; `step_s` is what each
    iteration of its loop takes.
    """

    def __init__(self, schedule):
        self._schedule = schedule
        self._loop = _ProcessLoop(self)
        self._task = None
        self.now_s = schedule.now_s
        self.step_s = 0.0
        self.is_running = False

    def start(self, main):
        self._task = self._loop.create_task(main())
        self.is_running = True

    def pause(self, duration_s):
        """Let the process stand still, also in the middle of what it does."""
        self.now_s = max(self.now_s, self._schedule.now_s) + duration_s

    def due_s(self):
        """Return when it runs next."""
        if not self.is_running:
            return math.inf
        if self._loop._ready:
            return max(self._schedule.now_s, self.now_s)
        timers = self._loop._scheduled
        return max(timers[0]._when, self.now_s) if timers else math.inf

    def step(self):
        """Run one iteration of the loop; raise what ended the process."""
        self.now_s = max(self._schedule.now_s, self.now_s)
        self._run_once()
        self.now_s += self.step_s
        if self._task.done():
            self.is_running = False
            self._task.result()

    def kill(self):
        """End the process without the time for anything else."""
        self.is_running = False
        self._task.cancel()
        for _ in range(MAX_CLOSING_STEPS):
            if self._task.done():
                break
            self._run_once()
        self._loop.close()

    def create_future(self):
        return self._loop.create_future()

    def _run_once(self):
        asyncio._set_running_loop(self._loop)
        try:
            self._loop._run_once()
        finally:
            asyncio._set_running_loop(None)


class ProcessSchedule:
    """Runs processes and events outside them in the order of time."""

    def __init__(self, on_step=lambda process: None):
        self.now_s = 0.0
        self.processes = []
        self._on_step = on_step
        self._events = []
        self._numbers = itertools.count()

    def add(self):
        process = Process(self)
        self.processes.append(process)
        return process

    def at(self, when_s, action):
        """Call a function at a time."""
        event = (max(when_s, self.now_s), next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self, until_s):
        while True:
            process = min(self.processes, key=Process.due_s)
            process_s = process.due_s()
            event_s = self._events[0][0] if self._events else math.inf
            if min(process_s, event_s) > until_s:
                return
            self.now_s = max(self.now_s, min(process_s, event_s))
            if event_s <= process_s:
                heapq.heappop(self._events)[2]()
            else:
                process.step()
                self._on_step(process)

    def close(self):
        for process in self.processes:
            if process.is_running:
                process.kill()


class PausableClock(LoopClock):
    """Clock of a process that may be paused before a reading of it.

    `last_pause_s` is how long it was paused before the last reading.
    """

    def __init__(self, *, process, wall_rate=1, draw_pause_s=lambda: 0.0):
        self._process = process
        self._wall_rate = wall_rate
        self._draw_pause_s = draw_pause_s
        self.last_pause_s = 0.0
        self.may_pause = True

    def now_ms(self):
        if self.may_pause:
            self.last_pause_s = self._draw_pause_s()
            if self.last_pause_s:
                self._process.pause(self.last_pause_s)
        return int(self._process.now_s * 1_000)

    def wall_ms(self):
        return int(self._process.now_s * 1_000 * self._wall_rate)
