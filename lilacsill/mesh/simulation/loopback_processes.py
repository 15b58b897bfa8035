"""The processes of a mesh on this machine's loopback: each machine is an address of 127.0.0.0/8 of its own.

All machines use the same ports, as the platform has it. Two meshes at once need different networks.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
from enum import StrEnum
from pathlib import Path

import msgspec

OUTGOING_PORT, READY_PORT, CONTROL_PORT, APP_PORT = 18141, 18140, 18146, 18147
INTERNAL_PORTS = (17660, 17675)
MAX_SEEDS = 3
TEMPORARY_PREFIX = "lilacsill.mesh-"

SETTINGS = """NodeName = "{name}"
IpAddress = "{ip}"
ZoneName = "{zone}"
InternalPorts = [{first_port},{last_port}]
SeedNodes = [{seeds}]
FreshStart = {fresh}
LossCounts = {loss_counts}
BeatEveryMs = 500
TimingBounds = [{bounds}]
{role}
[ListenOn]
ControlPort = "{ip}:{control_port}"
{listen}
[Survive]
LostMachines = {lost_machines}
{limits}"""
LIMITS = """[Limits]
MemoryMb = {limits.memory_mb}
FileHandles = {limits.file_handles}
"""

DEFAULT_BOUNDS = ("DrainWithinMs=2000", "GracePeriodS=6", "RetryRatio=0.2", "RetryWindowS=10", "RetrySlack=60")


class Program(StrEnum):
    """The programs of the mesh; the names are those of their packages."""

    PROXY = "proxy"
    REGISTRY = "registry"
    STORE = "store"


CORE_PROGRAMS = (Program.STORE, Program.REGISTRY)


class ProcessKey(msgspec.Struct, frozen=True):
    """Names one process: a program on a machine."""

    program: Program
    ip: str


class ProcessLimits(msgspec.Struct, frozen=True):
    """What the platform gives a process: `Limits` of its settings file. Here nothing enforces them."""

    memory_mb: int
    file_handles: int


class LoopbackProcesses:
    """Starts and ends the processes of one mesh, each with a settings file and a log file of its own."""

    def __init__(
        self,
        core_ips: list[str],
        zone_count: int = 3,
        lost_machines: int = 1,
        bounds: tuple[str, ...] = DEFAULT_BOUNDS,
        is_logged: bool = False,
        limits: ProcessLimits | None = None,
    ) -> None:
        """Prepare a folder; nothing is started.

        Args:
            core_ips: The core machines of the first start, which the settings of all processes name.
            zone_count: The machines are spread over so many zones by the last part of their address.
            lost_machines: How many core machines may be lost at once.
            bounds: The `TimingBounds` of all settings files.
            is_logged: Whether what the processes print goes to files (`log_text`) and not to this process's streams.
            limits: The `Limits` of all settings files; None: they have none.
        """
        self.core_ips = core_ips
        self._zone_count, self._lost_machines, self._bounds = zone_count, lost_machines, bounds
        self._is_logged = is_logged
        self._limits = limits
        self.source_folders: dict[ProcessKey, Path] = {}  # processes that start from another source tree than this one
        self._folder = tempfile.TemporaryDirectory(prefix=TEMPORARY_PREFIX)
        self._running: dict[ProcessKey, subprocess.Popen[bytes]] = {}
        self._started: list[subprocess.Popen[bytes]] = []  # all of them, for the end

    def start(self, program: Program, ip: str, service: str = "", fresh: bool = False) -> subprocess.Popen[bytes]:
        """Start a program on a machine; a proxy stands beside a backend of `service`."""
        key = ProcessKey(program, ip)
        path = self._write_settings(key, service, fresh)
        command = [sys.executable, "-m", f"lilacsill.mesh.{program}"]
        env = {**os.environ, "LILACSILL_SETTINGS": str(path)}
        folder = self.source_folders.get(key)  # Python imports from the working folder first
        if self._is_logged:
            with self._log_path(key).open("ab") as log_file:
                process = subprocess.Popen(command, cwd=folder, env=env, stdout=log_file, stderr=log_file)
        else:
            process = subprocess.Popen(command, cwd=folder, env=env)
        self._running[key] = process
        self._started.append(process)
        return process

    def start_core(self, ip: str, fresh: bool = False) -> None:
        """Start store and registry of a core machine."""
        for program in CORE_PROGRAMS:
            self.start(program, ip, fresh=fresh)

    def _write_settings(self, key: ProcessKey, service: str, fresh: bool) -> Path:
        ip, is_proxy = key.ip, key.program is Program.PROXY
        folder = self.data_folder(key)
        folder.mkdir(parents=True, exist_ok=True)
        role = (
            f'AppAddress = "{ip}:{APP_PORT}"\nTargetService = "{service}"' if is_proxy else f'DataFolder = "{folder}"'
        )
        listen = f'Outgoing = "{ip}:{OUTGOING_PORT}"\nReadyCheck = "{ip}:{READY_PORT}"' if is_proxy else ""
        path = folder.parent / f"{key.program}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"{key.program}-{ip}",
                ip=ip,
                zone=f"z{int(ip.rpartition('.')[2]) % self._zone_count}",
                first_port=INTERNAL_PORTS[0],
                last_port=INTERNAL_PORTS[1],
                control_port=CONTROL_PORT,
                seeds=",".join(f'"{seed}:{CONTROL_PORT}"' for seed in self.core_ips[:MAX_SEEDS]),
                fresh=str(fresh).lower(),
                loss_counts=str(not is_proxy).lower(),
                bounds=",".join(f'"{bound}"' for bound in self._bounds),
                role=role,
                listen=listen,
                lost_machines=self._lost_machines,
                limits="" if self._limits is None else LIMITS.format(limits=self._limits),
            )
        )
        return path

    def data_folder(self, key: ProcessKey) -> Path:
        """Return the folder of a process on its machine's disk."""
        return Path(self._folder.name, key.ip, key.program)

    def _log_path(self, key: ProcessKey) -> Path:
        return Path(self._folder.name, key.ip, f"{key.program}.log")

    def log_text(self, key: ProcessKey) -> str:
        """Return what all runs of a process have printed."""
        path = self._log_path(key)
        return path.read_text(errors="replace") if path.exists() else ""

    def known_keys(self) -> list[ProcessKey]:
        """Return the processes that were started and not waited for."""
        return list(self._running)

    def pid(self, key: ProcessKey) -> int:
        """Return the process id of a program."""
        return self._running[key].pid

    def exit_status(self, key: ProcessKey) -> int | None:
        """Return the exit status of a process, negative for a signal; None while it runs."""
        return self._running[key].poll()

    def is_known(self, key: ProcessKey) -> bool:
        """Return whether the process was started and not waited for."""
        return key in self._running

    def handles(self, key: ProcessKey, number: signal.Signals) -> bool:
        """Return whether a process catches or ignores a signal, by its masks in /proc; True once it has ended."""
        try:
            lines = Path("/proc", str(self.pid(key)), "status").read_text().splitlines()
        except OSError:
            return True
        masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigCgt", "SigIgn"))]
        return any(mask >> (number - 1) & 1 for mask in masks)

    def signal(self, key: ProcessKey, number: signal.Signals) -> subprocess.Popen[bytes]:
        """Send a signal to a process that was started; one that has ended already gets nothing."""
        process = self._running[key]
        process.send_signal(number)
        return process

    def release(self, key: ProcessKey) -> subprocess.Popen[bytes]:
        """Forget a process, whose end the caller waits for; `close` ends it if it still runs."""
        return self._running.pop(key)

    def kill(self, key: ProcessKey) -> None:
        """Kill a process, and wait for its end."""
        process = self.release(key)
        process.kill()
        process.wait()

    def kill_core(self, ip: str) -> None:
        """Kill registry and store of a core machine."""
        for program in reversed(CORE_PROGRAMS):
            self.kill(ProcessKey(program, ip))

    def close(self) -> None:
        """Kill all processes that were ever started and still run, and remove the folder."""
        for process in self._started:
            process.kill()
        for process in self._started:
            process.wait()
        self._started.clear()
        self._running.clear()
        self._folder.cleanup()
