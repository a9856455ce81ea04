"""Stand-ins for the second review: gateway processes, discovery, storage nodes and clients.

The gateways are the project's own program, started by the command of deploy/balancer.toml. All other parties are
small threads of this process. Every address is a loopback address.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()
# All gateways that the script has created; they end with it.
GATEWAYS = []


def now():
    """Returns the seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes record.txt: one line for each event, with its time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, text):
        """Writes one line."""
        with self.lock:
            self.file.write(f"{now():9.4f} {text}\n")

    def close(self):
        """Writes what is still held back."""
        with self.lock:
            self.file.flush()


class CannotRun(Exception):
    """The case could not run, so that it has no result."""


def free_port():
    """Returns a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_command():
    """Returns the command of the deploy file that starts a gateway."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        match = re.search(r'^run = "([^"]*)"', file.read(), re.MULTILINE)
    if match is None:
        raise CannotRun("the deploy file states no command")
    return match.group(1)


class Gateway:
    """One gateway process with its configuration file."""

    def __init__(self, name, settings, limits, record):
        self.name = name
        self.settings = settings
        self.limits = limits
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.port = free_port()
        self.process = None
        self.log = None
        GATEWAYS.append(self)

    def write_config(self, discovery, known):
        """Replaces the configuration file."""
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "known": known,
            "settings": self.settings,
        }
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        return path

    def start(self, discovery, known):
        """Starts the process as the platform does."""
        path = self.write_config(discovery, known)
        scratch = os.path.join(self.folder, "tmp")
        os.makedirs(scratch, exist_ok=True)
        environment = dict(os.environ)
        environment.update(
            ROUTER_NAME=self.name,
            ROUTER_LISTEN=f"127.0.0.1:{self.port}",
            ROUTER_DISCOVERY=discovery,
            ROUTER_CONFIG=path,
            TMPDIR=scratch,
        )
        self.log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.write(f"gateway {self.name}: started")

    def wait_until_ready(self, seconds=30):
        """Waits for +PONG, as clients do."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"gateway {self.name} ended at its start")
            try:
                with socket.create_connection(("127.0.0.1", self.port), 1) as stream:
                    stream.settimeout(1)
                    stream.sendall(b"*1\r\n$4\r\nPING\r\n")
                    if stream.recv(64).startswith(b"+PONG"):
                        self.record.write(f"gateway {self.name}: ready")
                        return True
            except OSError:
                pass
            time.sleep(0.05)
        return False

    def stop(self):
        """Ends the process and removes its files."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.log is not None:
            self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class ListedNode:
    """The entry of a storage node in the list of discovery."""

    def __init__(self, name, address, group, zone, since_ms=0):
        self.name = name
        self.address = address
        self.group = group
        self.zone = zone
        self.status = "in_service"
        self.since_ms = since_ms

    def entry(self):
        """Returns the entry as discovery sends it."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "box-2c",
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


class Discovery:
    """Discovery: sends the whole list first, then each change, and an empty line every 2 s."""

    def __init__(self, nodes, record):
        self.nodes = nodes
        self.record = record
        self.index = 40
        self.lock = threading.Lock()
        self.watches = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def snapshot(self):
        """Returns the whole list."""
        listed = [node.entry() for node in self.nodes if node.status != "terminated"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    def accept(self):
        """Accepts watches."""
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.open_watch, args=(stream,), daemon=True).start()

    def open_watch(self, stream):
        """Reads the request of a watch and sends the list."""
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request = b""
        while not request.endswith(b"\r\n\r\n"):
            piece = stream.recv(4096)
            if not piece:
                return
            request += piece
        head = request.split(b"\r\n")[0].decode()
        self.record.write(f"discovery: {head}")
        with self.lock:
            stream.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            write_chunk(stream, json.dumps(self.snapshot()) + "\n")
            self.watches.append(stream)

    def beat(self):
        """Sends an empty line on each watch every 2 s."""
        while True:
            time.sleep(2)
            with self.lock:
                self.send_all("\n")

    def send_all(self, text):
        """Sends text on each watch, and forgets those that have ended."""
        kept = []
        for stream in self.watches:
            try:
                write_chunk(stream, text)
                kept.append(stream)
            except OSError:
                stream.close()
        self.watches = kept


def write_chunk(stream, text):
    """Writes one chunk of a chunked response."""
    body = text.encode()
    stream.sendall(b"%x\r\n%s\r\n" % (len(body), body))


class CommandReader:
    """Reads RESP2 commands (arrays of bulk strings) from a stream."""

    def __init__(self, stream):
        self.stream = stream
        self.buffer = bytearray()

    def fill(self):
        """Reads more bytes; raises EOFError at the end."""
        piece = self.stream.recv(65536)
        if not piece:
            raise EOFError
        self.buffer += piece

    def line(self):
        """Reads one line without CRLF."""
        while True:
            end = self.buffer.find(b"\r\n")
            if end >= 0:
                line = bytes(self.buffer[:end])
                del self.buffer[: end + 2]
                return line
            self.fill()

    def exactly(self, count):
        """Reads this many bytes."""
        while len(self.buffer) < count:
            self.fill()
        content = bytes(self.buffer[:count])
        del self.buffer[:count]
        return content

    def command(self):
        """Reads one command."""
        head = self.line()
        words = []
        for _ in range(int(head[1:])):
            length = int(self.line()[1:])
            words.append(self.exactly(length + 2)[:-2])
        return words

    def reply(self):
        """Reads one reply of a gateway: a bulk string or a line."""
        head = self.line()
        if head.startswith(b"$") and head != b"$-1":
            return "value", self.exactly(int(head[1:]) + 2)[:-2]
        return "line", head


def options_of(words):
    """Returns the options of a request by name."""
    pairs = (part.split("=", 1) for part in words[3].decode().split(","))
    return {pair[0]: pair[1] for pair in pairs if len(pair) == 2}


def served(value):
    """Encodes the answer to a served request."""
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


class StorageNode:
    """A storage node. A subclass decides in `handle` how a request is answered."""

    def __init__(self, index, record, zone="hall-a"):
        self.name = f"s-{index}"
        self.group = index
        self.record = record
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.listed = ListedNode(self.name, self.address, index, zone)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Accepts connections of gateways."""
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections += 1
            connection = self.connections
            threading.Thread(target=self.serve, args=(stream, connection), daemon=True).start()

    def serve(self, stream, connection):
        """Serves one connection: requests are answered in order."""
        reader = CommandReader(stream)
        try:
            while True:
                words = reader.command()
                name = words[0].upper()
                if name in (b"CLIENT", b"SELECT"):
                    self.answer_fixed(stream, connection, b"+OK\r\n")
                elif name == b"PING":
                    self.answer_fixed(stream, connection, b"+PONG\r\n")
                elif name in (b"IO.IN", b"IO.OUT"):
                    self.handle(stream, connection, words)
                else:
                    self.answer_fixed(stream, connection, b"-ERR\r\n")
        except (EOFError, OSError, ValueError):
            stream.close()

    def answer_fixed(self, stream, connection, answer):
        """Answers a command that is not a request."""
        stream.sendall(answer)

    def handle(self, stream, connection, words):
        """Answers a request."""
        raise NotImplementedError


def encode_command(*words):
    """Encodes a command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, bytes) else word.encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(parts)


def finish(record, broken, note):
    """Ends the gateways, writes the result, and returns the exit code."""
    for gateway in GATEWAYS:
        gateway.stop()
    record.write("result: " + ("BROKEN: " if broken else "held: ") + note)
    record.close()
    print(("broken: " if broken else "held: ") + note, flush=True)
    return 1 if broken else 0


def cannot_run(record, why):
    """Ends the gateways, writes why the case has no result, and returns the exit code."""
    finish(record, False, f"could not run: {why}")
    return 2


def run(main):
    """Runs a case and exits with its code. Ends the gateways also if the case fails or is ended by a signal."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        code = main()
    except BaseException:
        traceback.print_exc()
    finally:
        for gateway in GATEWAYS:
            gateway.stop()
        os._exit(code)
