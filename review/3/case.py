"""One client writes its reads at once on one connection; the storage node of the first of them stands still once."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import deployment  # noqa: E402
import rig  # noqa: E402

NODES = 9
READS = int(os.environ.get("READS", 48))
VALUE_BYTES = int(os.environ.get("BYTES", 4096))
WORK_S = 0.004
PAUSE_S = float(os.environ.get("PAUSE", 0.2))
DEADLINE_MS = 1500


class Node:
    """A storage node that serves each read after WORK_S; its first one after PAUSE_S more, if it stands still."""

    def __init__(self, shard, record, pause_s):
        self.shard = shard
        self.record = record
        self.pause_s = pause_s

    async def start(self):
        self.server = await asyncio.start_server(self.serve, rig.HOST, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def serve(self, reader, writer):
        try:
            while words := await rig.read_command(reader):
                id = words[2].decode()
                self.record.write(f"node {self.shard}: {id} begun, d={rig.parameters(words)['d']}")
                pause, self.pause_s = self.pause_s, 0.0
                await asyncio.sleep(WORK_S + pause)
                value = f"{id}:".encode().ljust(VALUE_BYTES, b"v")
                writer.write(rig.served(value))
                await writer.drain()
                self.record.write(f"node {self.shard}: {id} run and answered")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def case(record, files):
    discovery = rig.Discovery(record)
    pause_s = PAUSE_S if rig.trouble() else 0.0
    for shard in range(NODES):
        node = Node(shard, record, pause_s if shard == 0 else 0.0)
        await node.start()
        discovery.put(f"s-{shard}", node.address, shard)
    await discovery.start()
    config = deployment.config("n0", rig.free_port(), discovery, deployment.settings())
    gateway = rig.Gateway("n0", config, files, record)
    gateway.start()
    try:
        await gateway.ready()
        return await client(gateway, record)
    finally:
        gateway.end()


async def client(gateway, record):
    """Writes READS reads at once, reads their answers, and returns the reads that were lost."""
    reader, writer = await asyncio.open_connection(rig.HOST, gateway.port)
    ids = [f"{number + 1:016x}" for number in range(READS)]
    output = b""
    for number, id in enumerate(ids):
        shard = 0 if number == 0 else 1 + number % (NODES - 1)
        text = (
            f"c=bag-lookup,t=priority,d={DEADLINE_MS},volume={shard + 1:016x},units=2,"
            f"shard={shard},hosts=1"
        )
        output += rig.command(b"IO.IN", f"{number + 100:016x}".encode(), id.encode(), text.encode())
    writer.write(output)
    await writer.drain()
    record.write(f"client: {READS} reads written at once, {len(output)} bytes")
    lost = []
    for position, id in enumerate(ids):
        try:
            kind, data = await asyncio.wait_for(rig.read_reply(reader), 8.0)
        except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
            kind, data = "end", repr(error).encode()
        record.write(f"client: answer {position + 1} of {READS}: {kind} {data[:60].decode(errors='replace')}")
        if kind == "end":
            lost = ids[position:]
            break
        if kind == "value" and not data.startswith(id.encode()):
            lost.append(id)
    writer.close()
    return [f"request {id} was taken and got no answer" for id in lost]


sys.exit(rig.run_case(Path(__file__).parent, case))
