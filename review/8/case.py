"""Bad clients whose lists of names and values cannot be read hold up the answers to the usual clients."""

import itertools
import os
import random
import socket
import string
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
BAD_CLIENTS = 16
LIST_BYTES = 64000
USUAL_CLIENTS = 10
DEADLINE = 1.5
# STANDING.md: later than half a second after its time, a request is lost; PROTOCOL: every limit is longer by 50 ms.
LATE = 0.5 + 0.05
RECORD = Record(FOLDER)


class Node(StorageNode):
    """A sound node that serves each request in 5 to 15 ms."""

    def handle(self, stream, connection, words):
        request = words[2].decode()
        if int(options_of(words)["shard"]) != self.group:
            return stream.sendall(b"-BUSY\r\n")
        time.sleep(random.uniform(0.005, 0.015))
        RECORD.write(f"{self.name}: ran {request}")
        stream.sendall(served(f"value for {request}".encode()))


def bad_list():
    """Returns a list of 64,000 bytes: a class that does not exist, then names that no page knows."""
    parts = ["c=no-such-class"]
    length = len(parts[0])
    for letters in itertools.product(string.ascii_lowercase, repeat=3):
        name = "".join(letters)
        if length + len(name) + 2 > LIST_BYTES:
            break
        parts.append(name + "=")
        length += len(name) + 2
    return ",".join(parts)


def bad_client(port, number, text, until, errors):
    """Sends a command that cannot be used, and the same thing again as soon as it is turned away."""
    count = 0
    while now() < until:
        try:
            stream = socket.create_connection(("127.0.0.1", port))
            stream.settimeout(30)
            reader = CommandReader(stream)
            while now() < until:
                count += 1
                request = f"bad{number:05x}{count:08x}"
                stream.sendall(encode_command("IO.IN", f"{random.getrandbits(64):016x}", request, text))
                began = now()
                _, answer = reader.reply()
                errors.append(now() - began)
                RECORD.write(f"bad client {number}: {request}: {answer[:60]!r} after {now() - began:.3f} s")
        except (OSError, EOFError):
            time.sleep(0.05)


def usual_client(port, number, until, results):
    """Sends a read, waits for its answer, and sends the next one 0.2 s later: 50 reads a second in all."""
    count = 0
    stream = None
    while now() < until:
        if stream is None:
            stream = socket.create_connection(("127.0.0.1", port))
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream.settimeout(DEADLINE + 10)
            reader = CommandReader(stream)
        count += 1
        request = f"{number:04x}{count:012x}"
        options = (f"c=bag-lookup,t=standard,d={int(DEADLINE * 1000)},volume={random.randrange(12):016x},units=1,"
                   f"shard={random.randrange(2)},hosts=1")
        stream.sendall(encode_command("IO.IN", f"{random.getrandbits(64):016x}", request, options))
        sent = now()
        try:
            kind, answer = reader.reply()
            took = now() - sent
            results.append((took, kind))
            RECORD.write(f"client {number}: {request}: {kind} {answer[:60]!r} after {took:.3f} s")
        except TimeoutError:
            results.append((now() - sent, "never"))
            RECORD.write(f"client {number}: {request}: no answer after {now() - sent:.3f} s")
            stream = None
        except (EOFError, OSError):
            # A close between requests that crosses the request: it is sent once more, as a new one here.
            RECORD.write(f"client {number}: {request}: the connection was closed")
            stream = None
        time.sleep(0.2)


def main():
    nodes = [Node(index, RECORD) for index in range(2)]
    discovery = Discovery([node.listed for node in nodes], RECORD)
    gateway = Gateway("n0", settings(shards=2), {"cores": 1.0, "memory_mb": 64, "sockets": 512}, RECORD)
    results, errors, threads = [], [], []
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
            text = bad_list()
            for number in range(BAD_CLIENTS):
                arguments = (gateway.port, number, text, until, errors)
                threading.Thread(target=bad_client, args=arguments, daemon=True).start()
        for thread in threads:
            thread.join(until - now() + 20)
    except (CannotRun, OSError) as error:
        return cannot_run(RECORD, error)
    if not calm or any(took > DEADLINE for took, _ in calm):
        return cannot_run(RECORD, "answers were late before the disruption")
    lost = [took for took, kind in results if kind == "never" or took > DEADLINE + LATE]
    longest = max(took for took, _ in results)
    late_errors = sum(1 for took in errors if took > 3)
    note = (f"{len(lost)} of {len(results)} requests of usual clients were answered over {LATE:.2f} s after their time "
            f"or never; the longest took {longest:.2f} s; {late_errors} of {len(errors)} bad commands waited over 3 s")
    return finish(RECORD, bool(lost), note)


run(main)
