"""Bad clients keep the gateway inside the loop that evicts a connection, so that it answers nobody else."""

import os
import random
import select
import selectors
import socket
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from deployment import settings
from rig import (CannotRun, CommandReader, Discovery, Gateway, Record, StorageNode, cannot_run, encode_command, finish,
                 now, options_of, run, served)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 30
SENDERS = 3
AT_ONCE = 400
SILENT = 300
USUAL_CLIENTS = 16
SHARDS = 4
DEADLINE = 2.0
# STANDING.md: later than half a second after its time, a request is lost; PROTOCOL: every limit is longer by 50 ms.
LATE = 0.5 + 0.05
RECORD = Record(FOLDER) if len(sys.argv) == 1 else None


class Node(StorageNode):
    """A sound node that serves each request in 60 to 100 ms: they are large reads."""

    def handle(self, stream, connection, words):
        request = words[2].decode()
        if int(options_of(words)["shard"]) != self.group:
            return stream.sendall(b"-BUSY\r\n")
        time.sleep(random.uniform(0.06, 0.1))
        RECORD.write(f"{self.name}: ran {request}")
        stream.sendall(served(f"value for {request}".encode()))


def sender(port, seconds):
    """Sends hundreds of commands of a class that does not exist at once, again and again, at full speed.

    Reads what it is sent, and connects again when it is closed. Runs in a process of its own.
    """
    options = "c=no-such-class,t=standard,d=1500,volume=00000003b4d60021,units=1,shard=0,hosts=1"
    batch = b"".join(encode_command("IO.IN", "7f3a9c21e0b4d655", f"bad{index:013x}", options)
                     for index in range(AT_ONCE))
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            with socket.create_connection(("127.0.0.1", port), 30) as stream:
                stream.setblocking(False)
                send_until(stream, batch, until)
        except (OSError, EOFError):
            time.sleep(0.02)


def send_until(stream, batch, until):
    """Sends batches on a connection and reads the answers, until a time or the end of the connection."""
    left = batch
    while time.monotonic() < until:
        readable, writable, _ = select.select([stream], [stream], [], 0.05)
        if readable and not stream.recv(1 << 20):
            raise EOFError
        if writable:
            left = left[stream.send(left):] or batch


def silent_clients(port, until, stats):
    """Connects by hundreds and says nothing; connects again when closed."""
    selector = selectors.DefaultSelector()
    count = 0
    while now() < until:
        while count < SILENT:
            stream = socket.socket()
            stream.setblocking(False)
            try:
                stream.connect(("127.0.0.1", port))
            except BlockingIOError:
                pass
            except OSError:
                stream.close()
                break
            selector.register(stream, selectors.EVENT_READ)
            count += 1
            stats["silent"] += 1
        for key, _ in selector.select(0.05):
            selector.unregister(key.fileobj)
            key.fileobj.close()
            count -= 1


def usual_client(port, number, until, results):
    """Sends a large read, waits for its answer, and sends the next one 20 ms later."""
    count = 0
    stream = None
    while now() < until:
        count += 1
        request = f"{number:04x}{count:012x}"
        options = (f"c=hotel-report,t=priority,d={int(DEADLINE * 1000)},volume={random.randrange(24):016x},units=1,"
                   f"shard={random.randrange(SHARDS)},hosts=1")
        try:
            if stream is None:
                stream = socket.create_connection(("127.0.0.1", port), 20)
                stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                stream.settimeout(DEADLINE + 10)
                reader = CommandReader(stream)
                is_proven = False
            stream.sendall(encode_command("IO.IN", f"{random.getrandbits(64):016x}", request, options))
            sent = now()
            kind, answer = reader.reply()
            took = now() - sent
            results.append((took, kind, is_proven))
            is_proven = True
            RECORD.write(f"client {number}: {request}: {kind} {answer[:60]!r} after {took:.3f} s")
        except TimeoutError:
            results.append((now() - sent, "never", is_proven))
            RECORD.write(f"client {number}: {request}: no answer after {now() - sent:.3f} s")
            stream = None
        except (EOFError, OSError):
            RECORD.write(f"client {number}: {request}: the connection was closed")
            stream = None
        time.sleep(0.02)


def main():
    nodes = [Node(index, RECORD) for index in range(SHARDS)]
    discovery = Discovery([node.listed for node in nodes], RECORD)
    gateway = Gateway("n0", settings(shards=SHARDS), {"cores": 1.0, "memory_mb": 64, "sockets": 256}, RECORD)
    results, threads, others = [], [], []
    stats = {"silent": 0}
    try:
        gateway.start(discovery.address, discovery.snapshot())
        if not gateway.wait_until_ready():
            raise CannotRun("the gateway did not become ready")
        until = now() + SECONDS
        for number in range(USUAL_CLIENTS):
            arguments = (gateway.port, number, until, results)
            threads.append(threading.Thread(target=usual_client, args=arguments, daemon=True))
        for thread in threads:
            thread.start()
        time.sleep(5)
        calm = list(results)
        if TROUBLE:
            for _ in range(SENDERS):
                command = [sys.executable, "-B", os.path.abspath(__file__), str(gateway.port), str(until - now())]
                others.append(subprocess.Popen(command))
            time.sleep(0.5)
            threading.Thread(target=silent_clients, args=(gateway.port, until, stats), daemon=True).start()
        for thread in threads:
            thread.join(until - now() + 30)
    except (CannotRun, OSError) as error:
        return cannot_run(RECORD, error)
    finally:
        for other in others:
            other.kill()
    if not calm or any(took > DEADLINE for took, _, _ in calm):
        return cannot_run(RECORD, "answers were late before the disruption")
    # New connections may be shut unread while idle clients fill the descriptors: only requests count that came on a
    # connection on which the gateway had answered before.
    lost = [took for took, kind, is_proven in results
            if is_proven and (kind == "never" or took > DEADLINE + LATE)]
    longest = max(took for took, _, _ in results)
    note = (f"{len(lost)} of {len(results)} requests of usual clients, all on connections in use, were answered over "
            f"{LATE:.2f} s after their time or never; the longest took {longest:.2f} s; "
            f"{stats['silent']} silent connections")
    return finish(RECORD, bool(lost), note)


if len(sys.argv) > 1:
    sender(int(sys.argv[1]), float(sys.argv[2]))
else:
    run(main)
