"""Storage nodes send some good answers a second time, some milliseconds late, when nothing else waits."""

import asyncio
import os
import random
import sys
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import deployment  # noqa: E402
import rig  # noqa: E402

NODES = 9
RATE_PER_S = 200
RUN_S = float(os.environ.get("RUN", 60))
WORK_MS = (4.0, 9.0)
# One way between the gateway and a node: of three halls, two are not the gateway's.
ONE_WAY_OWN_HALL_S = 0.0002
ONE_WAY_OTHER_HALL_S = 0.0007
SHARE_TWICE = float(os.environ.get("SHARE", 0.03))
LATE_MS = (1.0, 8.0)
# If this script is held up for longer, it sends no second answer: it may not know what has come.
MAX_HELD_UP_S = 0.0005
DEADLINE_MS = 1500
VOLUMES = 54


class NodeConnection(asyncio.Protocol):
    """One connection of a storage node; bytes take `one_way_s` to come to it and to go back."""

    def __init__(self, node):
        self.node = node
        self.loop = asyncio.get_running_loop()
        self.input = b""
        self.waiting = deque()
        self.is_busy = False
        self.is_open = True

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, _):
        self.is_open = False

    def data_received(self, data):
        self.loop.call_later(self.node.one_way_s, self.arrive, data)

    def arrive(self, data):
        """Bytes have come over the network to the node."""
        self.input += data
        while command := self.take_command():
            self.waiting.append(command[2].decode())
            self.begin_next()

    def take_command(self):
        """Takes a whole command out of the input."""
        position = 0
        words = []

        def line():
            nonlocal position
            end = self.input.index(b"\r\n", position)
            text = self.input[position:end]
            position = end + 2
            return text

        try:
            for _ in range(int(line()[1:])):
                length = int(line()[1:])
                if len(self.input) < position + length + 2:
                    return None
                words.append(self.input[position : position + length])
                position += length + 2
        except ValueError:
            return None
        self.input = self.input[position:]
        return words

    def begin_next(self):
        if self.is_busy or not self.waiting:
            return
        self.is_busy = True
        id = self.waiting.popleft()
        self.node.record.write(f"node {self.node.shard}: {id} begun")
        work_s = self.node.random.uniform(*WORK_MS) / 1000.0
        self.loop.call_later(work_s, self.finish, id)

    def finish(self, id):
        self.is_busy = False
        answer = rig.served(f"{id}:value".encode())
        self.send(answer)
        self.node.record.write(f"node {self.node.shard}: {id} run and answered")
        if rig.trouble() and self.node.random.random() < SHARE_TWICE:
            late_s = self.node.random.uniform(*LATE_MS) / 1000.0
            self.loop.call_later(late_s, self.send_again, id, answer, self.loop.time() + late_s)
        self.begin_next()

    def send_again(self, id, answer, due_at):
        """Sends an answer a second time, unless something else has come on the connection."""
        is_held_up = self.loop.time() - due_at > MAX_HELD_UP_S
        if self.is_busy or self.waiting or self.input or not self.is_open or is_held_up:
            return
        self.node.sent_twice += 1
        self.node.record.write(f"node {self.node.shard}: {id} answered again, nothing else waits here")
        self.send(answer)

    def send(self, data):
        self.loop.call_later(self.node.one_way_s, self.write, data)

    def write(self, data):
        if self.is_open:
            self.transport.write(data)


class Node:
    """A storage node of one shard."""

    def __init__(self, shard, record):
        self.shard = shard
        self.zone = f"hall-{'abc'[shard % 3]}"
        self.one_way_s = ONE_WAY_OWN_HALL_S if self.zone == "hall-a" else ONE_WAY_OTHER_HALL_S
        self.record = record
        self.random = random.Random(shard)
        self.sent_twice = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: NodeConnection(self), rig.HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])


class Clients:
    """Clients that hold their connections, and open further ones when all are busy."""

    def __init__(self, gateway, record):
        self.gateway = gateway
        self.record = record
        self.resting = []
        self.outcomes = {"value": 0, "error": 0, "end": 0}
        self.breaks = []

    async def ask(self, number, shard, volume):
        id = f"{number:016x}"
        text = (
            f"c=bag-lookup,t=priority,d={DEADLINE_MS},volume={volume:016x},units=2,"
            f"shard={shard},hosts=1"
        )
        output = rig.command(b"IO.IN", f"{number:016x}".encode(), id.encode(), text.encode())
        # A request that crosses the close of its connection is sent once more.
        for _ in range(2):
            try:
                reader, writer = await self.connection()
                writer.write(output)
                self.record.write(f"client: {id} sent, shard {shard}")
                kind, data = await asyncio.wait_for(rig.read_reply(reader), 5.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                kind, data = "end", b""
            if kind != "end":
                self.resting.append((reader, writer))
                break
            writer.close()
        self.outcomes[kind] += 1
        self.record.write(f"client: {id} got {kind} {data.decode(errors='replace')}")
        if kind == "value" and data != f"{id}:value".encode():
            self.breaks.append(f"the client of {id} was served {data.decode()}")

    async def connection(self):
        while self.resting:
            reader, writer = self.resting.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(rig.HOST, self.gateway.port)


async def case(record, files):
    discovery = rig.Discovery(record)
    nodes = [Node(shard, record) for shard in range(NODES)]
    for node in nodes:
        await node.start()
        discovery.put(f"s-{node.shard}", node.address, node.shard, zone=node.zone)
    await discovery.start()
    config = deployment.config("n0", rig.free_port(), discovery, deployment.settings())
    gateway = rig.Gateway("n0", config, files, record)
    gateway.start()
    try:
        await gateway.ready()
        clients = Clients(gateway, record)
        draw = random.Random(1)
        loop = asyncio.get_running_loop()
        asks = []
        at = loop.time()
        end = at + RUN_S
        while at < end:
            at += draw.expovariate(RATE_PER_S)
            await asyncio.sleep(max(0.0, at - loop.time()))
            volume = draw.randrange(VOLUMES)
            asks.append(asyncio.ensure_future(clients.ask(len(asks) + 1, volume % NODES, volume + 1)))
        await asyncio.wait(asks, timeout=8.0)
        twice = sum(node.sent_twice for node in nodes)
        record.write(f"{len(asks)} requests, outcomes {clients.outcomes}, {twice} answers sent twice")
        print(f"{len(asks)} requests, outcomes {clients.outcomes}, {twice} answers sent twice")
        return clients.breaks
    finally:
        gateway.end()


sys.exit(rig.run_case(Path(__file__).parent, case))
