"""A client sends many writes at once and leaves; the gateway goes on sending its writes to the nodes."""

import os
import random
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from deployment import settings
from rig import (CannotRun, CommandReader, Discovery, Gateway, Record, StorageNode, cannot_run, encode_command, finish,
                 now, options_of, run, served)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 15
AT_ONCE = 300
BODY = b"w" * 4096
SHARDS = 4
# STANDING.md: an attempt that begins more than 0.1 s after the close; PROTOCOL: every limit is longer by 50 ms.
GRACE = 0.1 + 0.05
RECORD = Record(FOLDER)
LOCK = threading.Lock()
# When the last byte of each attempt came to a node.
ATTEMPTS = []


class Node(StorageNode):
    """A sound node: a large read takes 450 ms, a write 38 to 60 ms."""

    def handle(self, stream, connection, words):
        request = words[2].decode()
        if int(options_of(words)["shard"]) != self.group:
            return stream.sendall(b"-BUSY\r\n")
        with LOCK:
            ATTEMPTS.append((now(), request))
        RECORD.write(f"{self.name}: attempt for {request}")
        time.sleep(0.45 if words[0].upper() == b"IO.IN" else random.uniform(0.038, 0.06))
        stream.sendall(served(b"value for " + words[2]))


def command(number, index):
    """Encodes the first request, a large read, or one of the writes behind it."""
    kind, name, deadline = ("hotel-report", "IO.IN", 6000) if index == 0 else ("scan-write", "IO.OUT", 3000)
    options = (f"c={kind},t=priority,d={deadline},volume={random.randrange(24):016x},units=1,"
               f"shard={index % SHARDS},hosts=1")
    words = [name, f"{random.getrandbits(64):016x}", f"{number:04x}{index:012x}", options]
    return encode_command(*words, BODY) if index else encode_command(*words)


def play(port, number):
    """Sends a read and 300 writes at once on one connection and leaves; returns the time of the close."""
    stream = socket.create_connection(("127.0.0.1", port))
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream.settimeout(15)
    stream.sendall(b"".join(command(number, index) for index in range(AT_ONCE + 1)))
    RECORD.write(f"client: {AT_ONCE + 1} commands of round {number} are sent")
    if not TROUBLE:
        reader = CommandReader(stream)
        for _ in range(AT_ONCE + 1):
            reader.reply()
    stream.close()
    closed = now()
    RECORD.write(f"client: has closed its connection of round {number}")
    return closed


def main():
    nodes = [Node(index, RECORD) for index in range(SHARDS)]
    discovery = Discovery([node.listed for node in nodes], RECORD)
    gateway = Gateway("n0", settings(shards=SHARDS), {"cores": 1.0, "memory_mb": 64, "sockets": 512}, RECORD)
    late = []
    try:
        gateway.start(discovery.address, discovery.snapshot())
        if not gateway.wait_until_ready():
            raise CannotRun("the gateway did not become ready")
        for number in range(ROUNDS if TROUBLE else 3):
            closed = play(gateway.port, number)
            time.sleep(1.5)
            with LOCK:
                after = [(at - closed, request) for at, request in ATTEMPTS
                         if request.startswith(f"{number:04x}") and at > closed + GRACE]
            for delay, request in after:
                RECORD.write(f"LATE: the attempt for {request} began {delay:.3f} s after the close")
            late.extend(after)
    except (CannotRun, OSError, EOFError) as error:
        return cannot_run(RECORD, error)
    longest = max((delay for delay, _ in late), default=0.0)
    note = (f"{len(late)} attempts began over {GRACE:.2f} s after their client had closed its connection, "
            f"the last one {longest:.3f} s after; {len(ATTEMPTS)} attempts in all")
    return finish(RECORD, bool(late), note)


run(main)
