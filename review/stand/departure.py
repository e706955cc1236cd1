"""A departure of an instance around an outage of the store and a planned restart.

Two cases differ in the times only.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from .daemons import Daemon, free_hosts
from .http import Caller, Message, send
from .instance import Instance
from .store import Store

N_MACHINES: Final = 4
ZONES: Final = ("pos-a", "pos-b")
SERVICE: Final = "ledger"
LEAVING: Final = 2
PER_S: Final = 30.0
# As among the troubles of the site; the longest outage of the whole store there, on a
# day, is 8.0 s.
DOWN_S: Final = 4.5
RESTART_DELAY_S: Final = 0.3
BOUNDS: Final = {
    "stable_window_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_min_retries": 64,
    "recover_s": 15,
}
CONFIGURATION: Final = {
    "version": "r7",
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "listeners": [
        {
            "hostname": "ledger.example",
            "policy": [
                {
                    "name": "r-log",
                    "route_type": "idempotent",
                    "target_latency_ms": 600,
                    "priority": 2,
                    "match": {"prefix": "/log/"},
                    "action": {
                        "service": SERVICE,
                        "timeout_ms": 2000,
                        "attempts": 2,
                    },
                }
            ],
        }
    ],
    "clusters": [{"name": SERVICE, "health_check_path": "/health"}],
}


@dataclass(frozen=True)
class Times:
    """When what happens, in seconds after the SIGTERM of the daemon."""

    down_at_s: float
    heartbeat_sent_s: float
    deregistered_s: float
    heartbeat_arrives_s: float
    ended_s: float


class Run:
    """One run of the case and its record."""

    def __init__(self, folder: Path, times: Times, has_trouble: bool) -> None:
        self.folder = folder
        self.times = times
        self.has_trouble = has_trouble
        self.start_s = time.monotonic()
        self.lines: list[str] = []
        self.sent_s: dict[str, float] = {}
        self.runs: list[tuple[float, float, str, str]] = []
        self.n_answered = 0
        self.acknowledged_s = 0.0
        self.begin_s = 0.0
        self.stable_s = 0.0
        self.store = Store()
        self.daemons: list[Daemon] = []
        self.instances: list[Instance] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.start_s

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now_s():8.3f} {text}")

    def on_run(self, instance: str, request: Message) -> None:
        """Record that an instance began to work on a request."""
        request_id = request.headers["x-request-id"]
        self.note(f"run {request_id} at {instance}")
        sent_s = self.sent_s[request_id]
        self.runs.append((sent_s, self.now_s(), request_id, instance))

    async def start(self) -> None:
        """Start the store, the instances and the daemons."""
        hosts = free_hosts(N_MACHINES)
        await self.store.start("127.0.0.1")
        self.store.put("op", "config", CONFIGURATION)
        for index, host in enumerate(hosts):
            name, zone = f"vm-{index + 1:02d}", ZONES[index % len(ZONES)]
            daemon = Daemon(name, zone, SERVICE, host, BOUNDS, self.folder)
            instance = Instance(f"i-{name}", SERVICE, zone, 9, 0.05, self.on_run)
            await instance.start(host)
            self.daemons.append(daemon)
            self.instances.append(instance)
            daemon.start(self.store.address, instance.address)
            instance.announce(daemon.control_plane)

    async def wait_ready(self) -> None:
        """Wait until every daemon says that it is ready."""
        async with asyncio.timeout(20):
            for daemon in self.daemons:
                while True:
                    answer = await send(
                        daemon.ready, "GET /readiness", {"Host": daemon.ready}
                    )
                    if answer is not None and answer.status == 200:
                        break
                    await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)

    async def send_from(self, daemon: Daemon, for_s: float) -> None:
        """Send requests to one machine at an even rate."""
        caller = Caller(daemon.outbound)
        index, next_s, end_s = 0, self.now_s(), self.now_s() + for_s
        while self.now_s() < end_s:
            index += 1
            sending = self._send(caller, f"{daemon.name}-{index}")
            task = asyncio.create_task(sending)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_s += 1 / PER_S
            await asyncio.sleep(max(0.0, next_s - self.now_s()))
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=3.0)
        caller.close()

    async def _send(self, caller: Caller, request_id: str) -> None:
        headers = {
            "Host": "ledger.example",
            "X-Request-Id": request_id,
            "X-Request-Timeout-Ms": "2000",
        }
        self.sent_s[request_id] = self.now_s()
        self.note(f"sent {request_id}")
        answer = await caller.send("GET /log/2f", headers, b"", 2.5)
        self.n_answered += answer is not None and answer.status == 200
        self.note(f"answer {request_id} {answer.status if answer else 'none'}")

    async def play(self) -> None:
        """Play the stop and the departure, in an outage of the store or in calm."""
        others = [d for i, d in enumerate(self.daemons) if i != LEAVING]
        sending = asyncio.gather(
            *(self.send_from(d, 2.0 + self.times.ended_s) for d in others)
        )
        await asyncio.sleep(2.0)
        self.begin_s = self.now_s()
        await asyncio.gather(self._fail_store(), self._leave(), self._restart())
        await sending

    async def _fail_store(self) -> None:
        if not self.has_trouble:
            return
        await asyncio.sleep(self.times.down_at_s)
        self.store.is_silent = True
        self.note("the store is down")
        await asyncio.sleep(DOWN_S)
        self.store.is_silent = False
        self.note("the store is back")
        self._touch_from(self.now_s())

    def _touch_from(self, calm_s: float) -> None:
        """Let the time in touch begin a stable window after `calm_s` or later."""
        window_s = BOUNDS["stable_window_ms"] / 1000
        self.stable_s = max(self.stable_s, calm_s + window_s)

    async def _leave(self) -> None:
        """Deregister the instance; an earlier heartbeat of it arrives afterwards."""
        instance, daemon = self.instances[LEAVING], self.daemons[LEAVING]
        await asyncio.sleep(self.times.heartbeat_sent_s)
        instance.stop()
        late = instance.heartbeat()
        self.note(f"{instance.name} sends a heartbeat that is held up")
        await asyncio.sleep(self.times.deregistered_s - self.times.heartbeat_sent_s)
        if not await instance.leave(daemon.control_plane):
            raise TimeoutError("the deregistration was not acknowledged")
        self.acknowledged_s = self.now_s()
        self.note(f"{instance.name} is deregistered and serves on")
        left_s = self.begin_s + self.times.heartbeat_arrives_s - self.now_s()
        await asyncio.sleep(left_s)
        is_answered = await instance.call(daemon.control_plane, "Heartbeat", late)
        self.note(f"the heartbeat arrives, acknowledged {is_answered}")

    async def _restart(self) -> None:
        """Stop the daemon beside the instance and start it again, as in a roll_term."""
        daemon, instance = self.daemons[LEAVING], self.instances[LEAVING]
        daemon.signal(signal.SIGTERM)
        self.note(f"{daemon.name} gets SIGTERM")
        code = await asyncio.to_thread(daemon.process.wait, BOUNDS["grace_s"])
        self.note(f"{daemon.name} has ended with {code}")
        await asyncio.sleep(RESTART_DELAY_S)
        daemon.fields["bootstrap"] = False
        daemon.start(self.store.address, instance.address)
        self.note(f"{daemon.name} is started again")
        self._touch_from(self.now_s())

    def end(self) -> None:
        """End every process that was started."""
        for daemon in self.daemons:
            daemon.end()

    def check(self) -> bool:
        """Return whether the rule DRAIN held.

        Only requests count that were sent a stable window after the end of the outage
        and after the start of the daemon.
        """
        bound_s = self.acknowledged_s + BOUNDS["drain_ms"] / 1000
        name = self.instances[LEAVING].name
        late = [
            run
            for run in self.runs
            if run[3] == name and run[1] > bound_s and run[0] > self.stable_s
        ]
        print(
            f"sent {len(self.sent_s)}, run {len(self.runs)}, answered 200 "
            f"{self.n_answered}; reached {name} later than drain_ms after the "
            f"acknowledgement at {self.acknowledged_s:.2f} s and sent in touch, after "
            f"{self.stable_s:.2f} s: {len(late)}"
            + (f", from {late[0][1]:.2f} to {late[-1][1]:.2f} s" if late else "")
        )
        return not late


async def run_case(case: Path, times: Times) -> int:
    """Run the case and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), times, os.environ.get("TROUBLE") != "0")
        try:
            await run.start()
            await run.wait_ready()
            await run.play()
        except (OSError, TimeoutError, subprocess.TimeoutExpired) as error:
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            run.end()
            # The streams of the stand-ins are cancelled with the event loop.
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            (case / "record.txt").write_text("\n".join(run.lines) + "\n")
            if os.environ.get("KEEP_LOGS"):
                logs = case / "logs"
                logs.mkdir(exist_ok=True)
                for log in Path(folder).glob("*.log"):
                    (logs / log.name).write_bytes(log.read_bytes())
    if run.n_answered < 200:
        print(f"only {run.n_answered} requests were answered")
        return 2
    return 0 if run.check() else 1
