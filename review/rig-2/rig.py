"""Stand-ins for the second review: the platform's store, engines and clients, on loopback addresses.

They speak what the users' page PROTOCOL.md says and use the Python standard library only.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"


class Record:
    """Everything that was sent, answered and run, in order, with times in seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8") if path else None
        self.start = time.monotonic()
        self.rows = []

    def add(self, what, **fields):
        at = time.monotonic() - self.start
        self.rows.append((at, what, fields))
        if self.file:
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self.file.write(f"{at:8.3f} {what} {text}\n")
            self.file.flush()
        return at


async def read_head(reader, limit=1 << 20):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, record, host):
        self.record = record
        self.host = host
        self.port = None
        self.items = {}
        self.revision = 100
        self.history = []
        self.first = 100
        self.era = None
        self.mode = "ok"
        self.delay = 0.004
        self.changed = asyncio.Event()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self.revision += 1
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                "created": created, "lease": 0}
        self.items[key] = item
        self.history.append(item)
        self.wake()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "revision": self.revision, "deleted": True})
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def set_mode(self, mode):
        self.mode = mode
        if mode != "ok":
            for writer in list(self.writers):
                if mode == "reset":
                    reset(writer)
            self.wake()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "reset":
                    reset(writer)
                    return
                if self.mode in ("busy", "many"):
                    status, answer = (503 if self.mode == "busy" else 429), {}
                else:
                    status, answer = await self.answer(line.split(" ")[0], line.split(" ")[1], body)
                    await asyncio.sleep(self.delay)
                    if self.mode == "silent":
                        await asyncio.sleep(3600)
                data = json.dumps(answer).encode()
                era = f"Store-Era: {self.era}\r\n" if self.era is not None else ""
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/api/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500,
                         "at": self.revision}
        if parts.path == "/api/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
            if after < self.first or after > self.revision:
                return 410, {}
            while True:
                events = [e for e in self.history
                          if e["revision"] > after and e["key"].startswith(query["prefix"])]
                left = until - time.monotonic()
                if events or left <= 0 or self.mode != "ok":
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if parts.path == "/api/kv-txn":
            call = json.loads(body)
            for row in call.get("expectedRevision", []):
                held = self.items.get(row["key"])
                if (held["revision"] if held else 0) != row["revision"]:
                    return 412, {"items": [held] if held else []}
            for row in call.get("write", []):
                self.put(row["key"], base64.b64decode(row["value"]))
            for key in call.get("remove", []):
                self.remove(key)
            self.record.add("store-write", keys=[r["key"] for r in call.get("write", [])])
            return 200, {"revision": self.revision}
        return 404, {}


class Request:
    def __init__(self, method, path, fields):
        self.method, self.path, self.fields = method, path, fields
        self.id = fields.get("x-attempt-id", "")
        self.body = b""


class Engine:
    """An engine; plan(engine, request, reader, writer) answers and returns False to close."""

    def __init__(self, record, store, host, name, service, zone="a", plan=None, early=None):
        self.record, self.store, self.host = record, store, host
        self.id, self.service, self.zone = name, service, zone
        self.plan = plan or answer_plain
        self.early = early
        self.writers = set()
        self.port = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.registered = False

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self):
        self.sequence += 1
        self.registered = True
        self.store.put("servers/" + self.id, {
            "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 64, "state": self.state, "coldRemainingMs": 0,
            "sequence": self.sequence, "born": self.born})

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                request = Request(line.split(" ")[0], line.split(" ")[1], fields)
                if fields.get("x-expect-instance") not in (None, self.id):
                    request.body = await read_body(reader, fields)
                    writer.write(head_bytes(421, request, [("X-Instance-Id", self.id)], 0, stamp=False))
                    await writer.drain()
                    continue
                if self.early is not None and await self.early(self, request, reader, writer):
                    return
                request.body = await read_body(reader, fields)
                self.record.add("arrive", engine=self.id, request=request.id, method=request.method,
                                path=request.path, body=len(request.body))
                if await self.plan(self, request, reader, writer) is False:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def ran(self, request):
        self.record.add("run", engine=self.id, request=request.id)


def head_bytes(status, request, fields=(), length=None, stamp=True, chunked=False, close=False,
               name=True):
    lines = [f"HTTP/1.1 {status} X"]
    if name:
        lines.append(f"X-Attempt-Id: {request.id}")
    if stamp:
        lines.append(f"X-Server-Stamp: s.{request.id}")
    lines += [f"{key}: {value}" for key, value in fields]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def body_of(request, size=800):
    text = f"{request.id}:{len(request.body)};".encode()
    return (text * (size // len(text) + 1))[:size]


def event(request, number):
    return f"id: {number}\ndata: {request.id}-{number}\n\n".encode()


async def answer_plain(engine, request, reader, writer):
    engine.ran(request)
    await asyncio.sleep(0.02)
    body = body_of(request)
    writer.write(head_bytes(200, request, (), len(body)) + body)
    await writer.drain()


class Edge:
    """One process of the system."""

    def __init__(self, record, store, host, number=1, peers=(), zone="a", memory=260, grace=8,
                 binary="target/bin/quetzal-edge", fds=4100, quota=1.0):
        self.record, self.host = record, host
        self.folder = tempfile.mkdtemp(prefix="quetzal-review-")
        self.settings = os.path.join(self.folder, "settings.yaml")
        self.binary = os.path.join(ROOT, binary)
        self.process = None
        ports = []
        socks = []
        for _ in range(4):
            sock = socket.socket()
            sock.bind((host, 0))
            socks.append(sock)
            ports.append(sock.getsockname()[1])
        for sock in socks:
            sock.close()
        self.port, self.ready, self.control = ports[0], ports[1], ports[2]
        inner = 7400
        self.name = f"edge-{zone}-{number}"
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""nodeName: "{self.name}"
role: "edge"
machineClass: "edge"
serves: ["edge"]
ip: "{host}"
zone: "{zone}"
region: "r"
zones: {{a: "r", b: "r", c: "r"}}
listen:
  frontend: "{host}:{self.port}"
  ready: "{host}:{self.ready}"
internalPorts: [{inner}, {inner + 15}]
bootstrap: true
limits: {{cpuQuota: {quota}, cores: 1, memoryMb: {memory}, fileDescriptors: {fds}, linkMbps: 1000.0, diskMb: 0}}
heartbeatMs: 1200
bounds: {{contactMs: 3000, drainMs: 2000, graceS: {grace}, configApplyMs: 2000, retryBudgetRatio: 0.2,
  budgetWindowS: 10, retryAllowance: 52, coldOverage: 1.5, coldTolerance: 5, evacuationMs: 5000}}
platform: {{address: "{store.host}:{store.port}", form: "kv", writesPerS: 400, readsPerS: 2000,
  historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}}
""")

    def start(self, log=None, env=None):
        variables = {"PATH": os.environ["PATH"], "HOME": self.folder, "LANG": "C",
                     "QUETZALREACH_CONFIG": self.settings}
        variables.update(env or {})
        self.log = open(log or os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen([self.binary], cwd=ROOT, env=variables, stdout=self.log,
                                        stderr=self.log)
        self.record.add("start", machine=self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.record.add("signal", machine=self.name, number=number)

    async def wait_ready(self, timeout=10):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            data = await asyncio.wait_for(reader.read(64), 1)
            writer.close()
            return b" 200 " in data
        except (OSError, asyncio.TimeoutError):
            return False

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            return 0
        return 0

    def stop(self):
        if self.process and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
            except OSError:
                pass
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version=7, header_bytes=16384, idle_ms=15000, engine_service="llm",
                  app_service="app", attempts=2, timeout_ms=8000, keys=(KEY,), cold_s=0.0):
    def route(name, prefix, kind, service, **more):
        row = {"name": name, "host": HOST, "prefix": prefix, "routeKind": kind,
               "timeoutMs": timeout_ms, "targetLatencyMs": 600, "priority": 1, "service": service,
               "maxAttempts": 1, "public": False, "sticky": False, "resumable": False}
        row.update(more)
        return row
    return {"version": version, "routes": [
        route("r-stream", "/once/", "streaming", engine_service, sticky=True, targetGapMs=400),
        route("r-resume", "/again/", "streaming", engine_service, sticky=True, targetGapMs=400,
              resumable=True, maxAttempts=attempts),
        route("r-unsafe", "/book/", "unsafe", app_service),
        route("r-safe", "/read/", "safe", app_service, maxAttempts=attempts)],
        "services": [
            {"name": engine_service, "healthPath": "/healthz", "maxConnections": 360,
             "protocol": "h1", "tls": False, "coldStartS": cold_s, "coldPerS": 8.1 if cold_s else 0,
             "engine": {"slots": 64, "kvCapacityTokens": 555917}},
            {"name": app_service, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1",
             "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}],
        "limits": {"maxHeaderBytes": header_bytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": idle_ms, "tokensPerS": 280000},
        "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}]}


class Answer:
    def __init__(self):
        self.status, self.fields, self.body = None, {}, b""
        self.complete = False
        self.reusable = False


async def read_answer(reader, answer, slow=0):
    line, answer.fields = await read_head(reader)
    while line.split(" ")[1].startswith("1"):
        line, answer.fields = await read_head(reader)
    answer.status = int(line.split(" ")[1])
    fields = answer.fields
    if "content-length" in fields:
        left = int(fields["content-length"])
        while left:
            data = await reader.read(min(left, 4096))
            if not data:
                return
            answer.body += data
            left -= len(data)
            if slow:
                await asyncio.sleep(slow)
    elif fields.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readline(), 16)
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if slow:
                await asyncio.sleep(slow)
            if size == 0:
                break
    else:
        answer.body = await reader.read()
    answer.complete = True
    answer.reusable = fields.get("connection", "").lower() != "close"


class Client:
    """A client with one connection that it keeps."""

    def __init__(self, record, host, port):
        self.record, self.host, self.port = record, host, port
        self.reader = self.writer = None

    async def attempt(self, request_id, path, method="POST", body=b"", deadline_ms=8000, fields=(),
                      chunked=False, leave_after=None, slow=0, key=KEY, pieces=1):
        answer = Answer()
        kept = self.writer is not None
        try:
            if not kept:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.host, self.port, limit=1 << 20), 1)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {request_id}",
                     f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}"]
            lines += [f"{name}: {value}" for name, value in fields]
            if chunked:
                lines.append("Transfer-Encoding: chunked")
                wire = b"".join(b"%x\r\n%s\r\n" % (len(body[i:i + 3000]), body[i:i + 3000])
                                for i in range(0, len(body), 3000)) + b"0\r\n\r\n"
            else:
                if body or method == "POST":
                    lines.append(f"Content-Length: {len(body)}")
                wire = body
            data = ("\r\n".join(lines) + "\r\n\r\n").encode() + wire
            self.record.add("send", request=request_id, method=method, path=path, body=len(body),
                            kept=kept)
            step = max(len(data) // pieces, 1)
            for i in range(0, len(data), step):
                self.writer.write(data[i:i + step])
                if pieces > 1:
                    await asyncio.sleep(0.002)
            timeout = leave_after if leave_after is not None else deadline_ms / 1000 + 2
            await asyncio.wait_for(read_answer(self.reader, answer, slow), timeout)
        except asyncio.TimeoutError:
            self.close()
            self.record.add("left", request=request_id)
            return answer
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError, IndexError) as error:
            self.record.add("broken", request=request_id, status=answer.status,
                            error=type(error).__name__)
            self.close()
            return answer
        self.record.add("answer", request=request_id, status=answer.status, body=len(answer.body),
                        complete=answer.complete)
        if not answer.reusable or not answer.complete:
            self.close()
        return answer

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def new_id():
    return f"{random.getrandbits(64):016x}"
