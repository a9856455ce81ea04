"""Stand-ins of the platform, discovery, storage nodes and clients for the scripts of review/.

Everything listens on 127.0.0.1 with free ports. The gateway is started as the deploy file says, by `/bin/sh -c` from
the root of the repository.
"""

import asyncio
import json
import os
import re
import selectors
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_LIMIT_S = 30.0
LONGEST_RUN_S = 115
START = time.monotonic()


class CannotRun(Exception):
    """The case cannot run, which is neither a pass nor a failure."""


def now_ms():
    """Milliseconds since the script started."""
    return (time.monotonic() - START) * 1000.0


def trouble():
    """Whether the disruption of the case is on."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now_ms():10.2f} ms  {text}\n")
        self.file.flush()


def deploy_command(key):
    """A command of the deploy file."""
    text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    found = re.search(rf'^{key}\s*=\s*"([^"]*)"', text, re.MULTILINE)
    if not found:
        raise CannotRun(f"the deploy file has no command '{key}'")
    return found.group(1)


def free_port():
    """A port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Discovery:
    """Discovery: a watch on the list, with a heartbeat every 2 s."""

    def __init__(self, record):
        self.record = record
        self.entries = {}
        self.index = 1
        self.watchers = set()
        self.address = None

    def put(self, name, address, shard, status="in_service", zone="hall-a", since_ms=0):
        self.entries[name] = {
            "name": name,
            "address": address,
            "zone": zone,
            "type": "box-2c",
            "group": shard,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    def snapshot(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    @staticmethod
    def chunk(text):
        data = text.encode()
        return b"%x\r\n%s\r\n" % (len(data), data)

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(self.chunk(json.dumps(self.snapshot()) + "\n"))
            self.record.write(f"discovery: list {self.index} written to a new watch")
            self.watchers.add(writer)
            while True:
                await asyncio.sleep(2.0)
                writer.write(self.chunk("\n"))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()


def bulk(data):
    return b"$%d\r\n%s\r\n" % (len(data), data)


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


async def read_command(reader):
    """Reads a command; None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    words = []
    for _ in range(int(line[1:])):
        length = int((await reader.readexactly(1) + await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_reply(reader):
    """Reads one reply of a gateway: ('value', bytes), ('error', bytes) or ('end', b'')."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        return "end", b""
    if line.startswith(b"$") and not line.startswith(b"$-"):
        data = await reader.readexactly(int(line[1:]) + 2)
        return "value", data[:-2]
    return "error", line.strip()


def parameters(words):
    """The parameter list of a command as a dictionary."""
    return dict(part.split("=", 1) for part in words[3].decode().split(","))


def served(value):
    """The answer of a storage node that has served a request."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"


class Gateway:
    """One gateway, started with the command of the deploy file."""

    def __init__(self, name, config, folder, record):
        self.name = name
        self.folder = Path(folder)
        self.record = record
        self.config = config
        self.path = self.folder / f"{name}.json"
        self.tmp = self.folder / f"tmp-{name}"
        self.tmp.mkdir(exist_ok=True)
        self.process = None
        self.log = None

    @property
    def port(self):
        return int(self.config["listen"].rsplit(":", 1)[1])

    def start(self):
        self.path.write_text(json.dumps(self.config), encoding="utf-8")
        environment = dict(os.environ)
        environment.update(
            ROUTER_NAME=self.name,
            ROUTER_LISTEN=self.config["listen"],
            ROUTER_DISCOVERY=self.config["discovery"],
            ROUTER_CONFIG=str(self.path),
            TMPDIR=str(self.tmp),
        )
        self.log = open(self.folder / f"{self.name}.log", "a", encoding="utf-8")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_command("run")],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.write(f"gateway {self.name}: started, process {self.process.pid}")

    async def ready(self):
        """Waits until the gateway answers +PONG."""
        limit = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < limit:
            if self.process.poll() is not None:
                raise CannotRun(f"gateway {self.name} ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command(b"PING"))
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if line == b"+PONG\r\n":
                    self.record.write(f"gateway {self.name}: ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"gateway {self.name} is not ready after {READY_LIMIT_S:.0f} s")

    def signal(self, number):
        self.process.send_signal(number)
        self.record.write(f"gateway {self.name}: {signal.Signals(number).name}")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.log is not None:
            self.log.close()


def run_loop(work):
    """Runs `work` on a loop whose timers are finer than a millisecond."""
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    # Connections of stand-ins that are still open at the end are cancelled, which is no error.
    loop.set_exception_handler(lambda _, context: None)
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.05))
        loop.close()


def give_up(number, _):
    """Ends the script on a signal; the processes that it started are ended on the way out."""
    raise SystemExit(f"ended by {signal.Signals(number).name}")


def run_case(folder, case):
    """Runs `case(record, folder_for_files)`, which returns a list of breaks, and gives the exit code of run.sh."""
    record = Record(folder)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(LONGEST_RUN_S)
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as files:
            breaks = run_loop(case(record, files))
    except (CannotRun, SystemExit) as reason:
        record.write(f"cannot run: {reason}")
        print(f"cannot run: {reason}")
        return 2
    for text in breaks:
        record.write(f"BROKEN: {text}")
    verdict = f"rule broken {len(breaks)} times" if breaks else "rule held"
    record.write(verdict)
    print(verdict + (f"; first: {breaks[0]}" if breaks else ""))
    return 1 if breaks else 0
