"""A small deployment on loopback addresses for the scripts of this review.

Stand-ins of the platform's store, of engines and of clients, written from the users' pages, and the
start of quetzal-edge with the command of the deploy file. Only Python's standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
METRICS_PORT = 9464
PAGE_ITEMS = 500
STATUS_TEXT = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 410: "Gone",
               412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
               503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not run, whatever the product does."""


class Record:
    """Writes what was sent, answered and run into record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(str(word) for word in words) + "\n")

    def close(self):
        self.file.close()


class Request:
    """A request as it was read from a connection."""

    def __init__(self, method, target, fields, body):
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_request(reader):
    """Reads one request; returns None when the connection ends before it is whole."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head[:-4].decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        body = b""
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        return Request(method, target, fields, body)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
        return None


def answer_bytes(status, fields, body=b"", with_body=True):
    """Serializes an answer with a length; an answer to HEAD has the length and no body."""
    lines = [f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body if with_body else b"")


class Store:
    """The platform's store: ranges in pages, watches, conditional writes; no leases are needed."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1000
        self.changed = asyncio.Condition()
        self.address = None
        self.server = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"

    async def write(self, key, value):
        await self.change([(key, value)], [])

    async def remove(self, key):
        await self.change([], [key])

    async def change(self, writes, removals):
        async with self.changed:
            self.revision += 1
            for key, value in writes:
                created = self.items[key]["created"] if key in self.items else self.revision
                item = {"key": key, "value": base64.b64encode(value).decode(),
                        "revision": self.revision, "created": created, "lease": 0}
                self.items[key] = item
                self.events.append(item)
            for key in removals:
                if self.items.pop(key, None) is not None:
                    self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self.answer(request)
                data = json.dumps(body).encode()
                writer.write(answer_bytes(status, [("Content-Type", "application/json")], data))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        await asyncio.sleep(0.004)
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/api/kv-range":
            return self.range(query["prefix"], query.get("after", ""))
        if parts.path == "/api/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]))
        if parts.path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (404, {"at": self.revision}) if item is None \
                else (200, dict(item, at=self.revision))
        if parts.path == "/api/kv-txn" and request.method == "POST":
            return await self.transact(json.loads(request.body))
        return 404, {}

    def range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "hasMore": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def watch(self, prefix, after, wait_ms):
        def news():
            return [event for event in self.events
                    if event["revision"] > after and event["key"].startswith(prefix)]
        end = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while not news() and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
            return 200, {"events": news(), "at": self.revision}

    async def transact(self, call):
        keys = [row["key"] for row in call.get("write", [])] + list(call.get("remove", []))
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for row in call.get("expectedRevision", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        await self.change([(row["key"], base64.b64decode(row["value"]))
                           for row in call.get("write", [])], call.get("remove", []))
        return 200, {"revision": self.revision}


class Engine:
    """An engine: registers itself in the store, runs requests in slots, drops abandoned ones.

    work(engine, request) is a coroutine that returns (status, fields, body) or "close" or "hang".
    """

    def __init__(self, rig, ident, service, zone, work, slots=64, queue=134, keep_alive_s=4,
                 cold_s=0.0):
        self.rig, self.id, self.service, self.zone = rig, ident, service, zone
        self.work, self.slots, self.queue = work, slots, queue
        self.keep_alive_s = keep_alive_s
        self.cold_s = cold_s
        self.running = asyncio.Semaphore(slots)
        self.waiting = 0
        self.arrivals = []
        self.writers = set()
        self.server = None
        self.beats = None
        self.sequence = 0
        self.started = 0.0
        self.born = 0
        self.is_alive = False

    async def start(self, ip, port=0):
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_alive = True
        self.running = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.server = await asyncio.start_server(self.serve, ip, port, limit=2 ** 20, backlog=1024)
        self.ip, self.port = self.server.sockets[0].getsockname()[:2]
        self.rig.record.line("engine", self.id, "starts at", f"{self.ip}:{self.port}",
                             f"cold for {self.cold_s} s")
        await self.beat()
        self.beats = asyncio.create_task(self.keep_beating())

    def cold_left_ms(self):
        return max(0, int((self.cold_s - (time.monotonic() - self.started)) * 1000))

    async def beat(self, state="ready"):
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": state,
                 "coldRemainingMs": self.cold_left_ms(), "sequence": self.sequence,
                 "born": self.born}
        await self.rig.store.write(f"servers/{self.id}", json.dumps(entry).encode())

    async def keep_beating(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    def crash(self):
        """Ends at once, as a killed process does; the entry stays in the store."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.rig.record.line("engine", self.id, "ends")
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def load(self):
        used = self.slots - self.running._value
        return ("X-Instance-Load", f"{used},{self.waiting},{self.slots}")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                is_open = await self.handle(request, reader, writer)
                if not is_open:
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        ident = request.get("X-Attempt-Id")
        fields = [("X-Attempt-Id", ident)] if ident else []
        if request.get("X-Expect-Instance", self.id) != self.id:
            writer.write(answer_bytes(421, fields + [("X-Instance-Id", self.id)]))
            return True
        self.arrivals.append((time.monotonic(), ident))
        fields += [self.load(), ("Keep-Alive", f"timeout={self.keep_alive_s}")]
        if not ident:
            writer.write(answer_bytes(400, fields + [("X-Not-Executed", "1")]))
            return True
        if self.running.locked() and self.waiting >= self.queue:
            self.rig.record.line("engine", self.id, "refuses", ident)
            writer.write(answer_bytes(503, fields + [("X-Not-Executed", "1")]))
            return True
        self.waiting += 1
        async with self.running:
            self.waiting -= 1
            self.rig.record.line("engine", self.id, "runs", request.method, ident)
            self.rig.runs.setdefault(ident, []).append(self.id)
            work = asyncio.create_task(self.work(self, request))
            gone = asyncio.create_task(self.wait_for_end(reader, writer))
            await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
            gone.cancel()
            if not work.done():
                work.cancel()
                return False
            outcome = work.result()
        if outcome == "close":
            writer.transport.abort()
            return False
        status, extra, body = outcome
        stamp = [("X-Server-Stamp", f"{self.id}.{ident}")]
        writer.write(answer_bytes(status, fields + stamp + extra, body, request.method != "HEAD"))
        await writer.drain()
        return True

    @staticmethod
    async def wait_for_end(reader, writer):
        while not reader.at_eof() and not writer.transport.is_closing():
            await asyncio.sleep(0.02)


class Edge:
    """One machine of the system, whose process the platform starts again when it ends."""

    def __init__(self, rig, number, zone):
        self.rig, self.number, self.zone = rig, number, zone
        self.name = f"edge-{zone}-{number}"
        self.ip = f"{rig.net}.{number}"
        self.process = None
        self.starting = None
        self.log = open(os.path.join(rig.folder, self.name + ".log"), "wb")
        self.settings = os.path.join(rig.folder, self.name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(rig.settings_text(self))

    async def start(self):
        if self.rig.is_stopping:
            return
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["QUETZALREACH_CONFIG"] = self.settings
        # Goes on if this call is cancelled, so that stop() finds each process that was started.
        self.starting = asyncio.ensure_future(asyncio.create_subprocess_exec(
            *self.rig.command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL))
        self.process = await asyncio.shield(self.starting)
        self.rig.record.line(self.name, "starts, process", self.process.pid)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.rig.record.line(self.name, "gets", signal.Signals(number).name)
            self.process.send_signal(number)

    async def restart_after(self, delay):
        """Waits for the end of the process and starts it again."""
        await self.process.wait()
        self.rig.record.line(self.name, "ended with", self.process.returncode)
        await asyncio.sleep(delay)
        await self.start()

    def frontend(self):
        return self.ip, self.rig.ports["frontend"]

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.rig.ports["ready"])
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False


class Rig:
    """The deployment: a store, engines, and machines that run quetzal-edge."""

    def __init__(self, folder):
        self.case = folder
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="quetzalreach-review-")
        self.folder = self.temporary.name
        self.runs = {}
        self.engines = []
        self.edges = []
        self.store = Store()
        self.memory_mb = 260
        self.is_stopping = False
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["edge"]["run"].split()
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun(f"{self.command[0]} is not built")
        self.net, self.ports = self.free_addresses()

    @staticmethod
    def free_addresses():
        """Chooses a loopback network and ports that nothing uses on its first addresses."""
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            first = random.randrange(20000, 29000, 50)
            ports = {"frontend": first, "ready": first + 1, "controlPlane": first + 2,
                     "internal": first + 10}
            try:
                for host in range(1, 9):
                    for port in list(ports.values()) + [METRICS_PORT]:
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{host}", port))
                return net, ports
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def settings_text(self, edge):
        ports = self.ports
        return f"""nodeName: "{edge.name}"
role: "edge"
machineClass: "edge"
serves:
  - "edge"
ip: "{edge.ip}"
zone: "{edge.zone}"
region: "new-england"
zones:
  nashua: "new-england"
  lowell: "new-england"
  concord: "new-england"
  manchester: "new-england"
listen:
  frontend: "{edge.ip}:{ports['frontend']}"
  ready: "{edge.ip}:{ports['ready']}"
  controlPlane: "{edge.ip}:{ports['controlPlane']}"
internalPorts:
  - {ports['internal']}
  - {ports['internal'] + 15}
seedNodes: []
bootstrap: true
countsAsLoss: false
limits:
  cpuQuota: 0.25
  cores: 1
  memoryMb: {self.memory_mb}
  fileDescriptors: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
            "places", "platform"]
faultTolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  outerMs: 5000
  failClosed: false
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryAllowance: 52
  coldOverage: 1.5
  coldTolerance: 5
  evacuationMs: 5000
  recoveryS: 12
  passMs: 120
  reuseWindowS: 10
  quotaWindowS: 4
platform:
  address: "{self.store.address}"
  form: "kv"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
  ttlMinMs: 1000
"""

    async def start(self, config, engines, zones):
        """Starts store, engines and one machine in each of the zones; waits until all are ready."""
        await self.store.start(f"{self.net}.200")
        await self.store.write("op/config", json.dumps(config).encode())
        for number, engine in enumerate(engines):
            self.engines.append(engine)
            await engine.start(f"{self.net}.{201 + number}")
        for number, zone in enumerate(zones, 1):
            edge = Edge(self, number, zone)
            self.edges.append(edge)
            await edge.start()
        await self.wait_until_ready()
        # All machines know each other and all engines before traffic starts.
        await asyncio.sleep(3)

    async def wait_until_ready(self, limit=20):
        end = time.monotonic() + limit
        for edge in self.edges:
            while not await edge.is_ready():
                if edge.process.returncode is not None:
                    raise CannotRun(f"{edge.name} ended with {edge.process.returncode}")
                if time.monotonic() > end:
                    raise CannotRun(f"{edge.name} is not ready")
                await asyncio.sleep(0.1)

    async def stop(self):
        """Ends all processes that were started, also one whose start was cancelled."""
        self.is_stopping = True
        for edge in self.edges:
            if edge.starting:
                edge.process = await edge.starting
            if edge.process and edge.process.returncode is None:
                edge.process.kill()
                await edge.process.wait()
            edge.log.close()
        for engine in self.engines:
            engine.crash()
        self.record.close()
        self.temporary.cleanup()


class Broken(Exception):
    """The bytes on a connection are no whole answer."""


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


class Client:
    """One connection of a client, for many requests."""

    def __init__(self, rig, edge):
        self.rig, self.edge = rig, edge
        self.reader = self.writer = None

    async def connect(self):
        ip, port = self.edge.frontend()
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port, limit=2 ** 20), 1)

    async def ask(self, method, target, ident, deadline_ms, key="", body=None, fields=()):
        lines = [f"{method} {target} HTTP/1.1", "Host: h.example", f"X-Attempt-Id: {ident}",
                 f"X-Deadline-Ms: {deadline_ms}"]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        lines += [f"{name}: {value}" for name, value in fields]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))
        await self.writer.drain()
        return await asyncio.wait_for(self.read_answer(method), deadline_ms / 1000 + 1)

    async def read_answer(self, method):
        try:
            line = await self.reader.readline()
        except ValueError as error:
            raise Broken("a first line without end") from error
        if not line:
            raise Broken("the connection ended")
        if not line.startswith(b"HTTP/1.1 ") or not line[9:12].isdigit():
            raise Broken(f"bytes that are no answer: {line[:60]!r}")
        fields = {}
        while (text := await self.reader.readline()) not in (b"\r\n", b""):
            name, _, value = text.decode("latin-1").partition(":")
            fields[name.strip().lower()] = value.strip()
        body = b""
        if method != "HEAD" and int(line[9:12]) not in (204, 304):
            body = await self.read_body(fields)
        return Answer(int(line[9:12]), fields, body)

    async def read_body(self, fields):
        try:
            if fields.get("transfer-encoding", "").lower() == "chunked":
                body = b""
                while (size := int((await self.reader.readline()) or b"x", 16)) > 0:
                    body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                await self.reader.readline()
                return body
            if "content-length" in fields:
                return await self.reader.readexactly(int(fields["content-length"]))
            return await self.reader.read()
        except (asyncio.IncompleteReadError, ValueError) as error:
            raise Broken("the connection ended inside a body") from error

    def close(self):
        if self.writer:
            self.writer.close()


def run(folder, case):
    """Runs a case, a coroutine that takes the rig and returns what broke; exits as the issue says."""
    async def body():
        rig = Rig(folder)
        main = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, main.cancel)
        try:
            return await asyncio.wait_for(case(rig), 110)
        finally:
            await rig.stop()
    try:
        broken = asyncio.run(body())
    except asyncio.CancelledError:
        print("could not run: stopped")
        sys.exit(2)
    except CannotRun as error:
        print(f"could not run: {error}")
        sys.exit(2)
    except Exception as error:  # the rig itself failed
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    print("broken: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
