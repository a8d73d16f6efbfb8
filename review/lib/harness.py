"""Stand-ins and helpers shared by the review cases.

The store, the backend servers and the callers are small stand-ins that speak
the platform's published protocol. The gateways are the project's own program,
started with the command and the settings template of the deploy file. All of
them run on loopback addresses and the real clock.
"""

import asyncio
import json
import os
import random
import re
import resource
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

HOST = "catalogue.example"
DRAIN_MS = 3000
GRACE_S = 6
CONFIG_APPLY_MS = 3000
HEARTBEAT_S = 1.2
MEMORY_MB = 260
ZONES = ("widzew", "baluty", "gorna")
READY_TIMEOUT_S = 8.0

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class NotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.start = time.monotonic()

    def add(self, text):
        line = f"{time.monotonic() - self.start:9.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self.add(text)
        print(text, flush=True)


# --- HTTP -----------------------------------------------------------------


async def read_head(reader):
    """Returns (first line, [(name, value)]), or None at the end of file."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


def field(fields, name):
    for key, value in fields:
        if key == name:
            return value
    return None


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


async def read_body(reader, fields):
    if (field(fields, "transfer-encoding") or "").lower() == "chunked":
        return await read_chunked(reader)
    length = int(field(fields, "content-length") or 0)
    return await reader.readexactly(length) if length else b""


def write_response(status, reason, fields, body=b""):
    head = [f"HTTP/1.1 {status} {reason}"]
    head += [f"{name}: {value}" for name, value in fields]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


# --- Store ----------------------------------------------------------------


class Store:
    """The platform's object store: lists, watches, conditional changes."""

    PREFIX = "/carobhatch/objects/"

    def __init__(self, address):
        self.address = address
        self.revision = 100
        self.kinds = {}
        self.events = []  # (revision, kind, deleted, object)
        self.changed = asyncio.Event()
        self.server = None

    async def open(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def _encode(self, item):
        meta = json.dumps(item["meta"])
        raw = item.get("raw")
        spec = raw if raw is not None else json.dumps(item["spec"]).encode()
        return (b'{"meta":' + meta.encode() + b',"spec":' + spec +
                b',"status":null}')

    def _publish(self, kind, item, deleted):
        self.events.append((self.revision, kind, deleted, dict(item)))
        waiting, self.changed = self.changed, asyncio.Event()
        waiting.set()

    def put(self, kind, name, spec, raw=None):
        """Writes the object; returns its revision, which acknowledges it."""
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old is not None and old["spec"] == spec and old.get("raw") == raw:
            return old["meta"]["revision"]
        self.revision += 1
        created = old["meta"]["created"] if old else self.revision
        objects[name] = {
            "meta": {"name": name, "revision": self.revision,
                     "created": created, "finalizers": [],
                     "deleting": False},
            "spec": spec, "raw": raw}
        self._publish(kind, objects[name], False)
        return self.revision

    def beat(self, name, spec):
        """A backend server's heartbeat. The entry changes only if more than
        `seq` does."""
        item = self.kinds.get("servers", {}).get(name)
        old = dict(item["spec"] or {}, seq=spec["seq"]) if item else None
        if old == spec:
            item["spec"] = spec
        else:
            self.put("servers", name, spec)

    def delete(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            item = dict(item)
            item["meta"] = dict(item["meta"], revision=self.revision)
            self._publish(kind, item, True)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                status, answer = await self._call(method, target, body)
                writer.write(write_response(
                    status, "OK" if status < 400 else "Error",
                    [("Content-Type", "application/json")], answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, body):
        path, _, query = target.partition("?")
        if not path.startswith(self.PREFIX):
            return 404, b"{}"
        parts = path[len(self.PREFIX):].split("/")
        args = dict(pair.partition("=")[::2] for pair in query.split("&"))
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else None
        if method == "GET" and "watch" in args:
            return await self._watch(kind, int(args["watch"]),
                                     int(args.get("wait_ms", "0")))
        if method == "GET" and name is None:
            items = self.kinds.get(kind, {}).values()
            listed = b",".join(self._encode(item) for item in items)
            return 200, (b'{"items":[' + listed + b'],"has_more":false,'
                         b'"current_rev":%d}' % self.revision)
        if method == "POST":
            given = json.loads(body)
            name = given["meta"]["name"]
            if name in self.kinds.get(kind, {}):
                return 409, self._encode(self.kinds[kind][name])
            self.put(kind, name, given.get("spec"))
            return 200, self._encode(self.kinds[kind][name])
        item = self.kinds.get(kind, {}).get(name)
        if item is None:
            return 404, b"{}"
        if method == "GET":
            return 200, self._encode(item)
        given = json.loads(body) if body else {}
        wanted = given.get("meta", {}).get("revision",
                                           args.get("revision"))
        if wanted is not None and int(wanted) != item["meta"]["revision"]:
            return 409, self._encode(item)
        if method == "PUT":
            self.put(kind, name, given.get("spec"))
            return 200, self._encode(self.kinds[kind][name])
        if method == "DELETE":
            self.delete(kind, name)
            return 200, b"{}"
        return 405, b"{}"

    async def _watch(self, kind, since, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            found = [event for event in self.events
                     if event[0] > since and event[1] == kind]
            left = deadline - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        events = b",".join(
            b'{"deleted":' + (b"true" if deleted else b"false") +
            b',"object":' + self._encode(item) + b"}"
            for _, _, deleted, item in found)
        return 200, (b'{"events":[' + events + b'],"current_rev":%d}'
                     % self.revision)


# --- Backend servers ------------------------------------------------------


class Searcher:
    """A backend server. `behave` may replace its answer.

    `behave(request, writer)` is a coroutine that returns True when it has
    answered itself, False for the usual answer.
    """

    def __init__(self, bed, service, name, address, zone="widzew", slots=4,
                 work_s=0.005):
        self.bed = bed
        self.service = service
        self.id = name
        self.address = address
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.work_s = work_s
        self.behave = None
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.runs = []  # (monotonic time, request id)
        self.server = None
        self.writers = set()
        self.beat_task = None

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1",
                "slots": self.slot_count, "state": self.state,
                "warmup_left_ms": 0, "seq": self.seq, "born": self.born}

    async def open(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host,
                                                 int(port))
        self.bed.store.put("servers", self.id, self.entry())
        self.beat_task = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.bed.store.beat(self.id, self.entry())

    def crash(self):
        """The process ends and says nothing; the store drops its entry after
        three silent heartbeat intervals."""
        self.bed.record.add(f"server {self.id} crashes")
        self.beat_task.cancel()
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.bed.store.delete, "servers", self.id)

    def body(self, request_id):
        seed = random.Random(f"{self.id} {request_id}")
        return bytes(seed.randrange(256) for _ in range(16 * 4))

    def stamp(self, request_id):
        return f"{self.id}.{request_id}"

    def fields(self, request_id):
        return [("X-Request-Id", request_id),
                ("X-Response-Stamp", self.stamp(request_id))]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                await self._answer(head, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, head, body, writer):
        request_id = field(head[1], "x-request-id")
        method, target, _ = head[0].split(" ", 2)
        expected = field(head[1], "x-expected-instance")
        record = self.bed.record
        if expected not in (None, self.id):
            record.add(f"server {self.id} refuses id={request_id} status=421")
            writer.write(write_response(
                421, "Misdirected Request",
                [("X-Request-Id", request_id), ("X-Instance-Id", self.id)]))
            return
        async with self.slots:
            self.runs.append((time.monotonic(), request_id))
            record.add(f"server {self.id} runs id={request_id} {method} "
                       f"{target}")
            await asyncio.sleep(self.work_s)
            if self.behave is not None and await self.behave(
                    Request(request_id, method, target, body), writer):
                return
            writer.write(write_response(200, "OK", self.fields(request_id),
                                        self.body(request_id)))


class Request:
    def __init__(self, request_id, method, target, body):
        self.id = request_id
        self.method = method
        self.target = target
        self.body = body


# --- Gateways -------------------------------------------------------------


def render(template, values):
    """Fills in the placeholders {{a.b}} and {{a.0}} of the template."""

    def value(match):
        item = values
        for key in match.group(1).split("."):
            item = item[int(key)] if isinstance(item, list) else item[key]
        return str(item)

    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


class Gateway:
    """One process of the gateway role, as the deploy file starts it."""

    def __init__(self, bed, index):
        self.bed = bed
        self.ip = bed.ip(index)
        self.name = f"edge-{index}"
        self.zone = ZONES[index % len(ZONES)]
        self.process = None
        self.log = open(os.path.join(bed.folder, f"{self.name}.log"), "ab")
        self.settings = os.path.join(bed.folder, f"{self.name}.settings")
        with open(os.path.join(ROOT, bed.role["template"]),
                  encoding="utf-8") as file:
            template = file.read()
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, self._values()))
        self.requests = f"{self.ip}:8104"
        self.ready = f"{self.ip}:8108"
        self.directory = f"{self.ip}:8100"

    def _values(self):
        return {
            "node_name": self.name, "zone": self.zone, "ip": self.ip,
            "limits": {"cpu_share": 0.25, "max_fds": 4100,
                       "memory_mb": MEMORY_MB},
            "listen_addrs": {"frontend": f"{self.ip}:8104",
                             "ready": f"{self.ip}:8108",
                             "directory": f"{self.ip}:8100"},
            "internal_ports": [7380, 7395],
            "platform": {"address": self.bed.store.address},
            "bounds": {"grace_s": GRACE_S, "retry_budget_ratio": 0.2,
                       "retry_budget_extra": 52, "warmup_overshoot": 1.5,
                       "warmup_slack": 5,
                       "config_apply_ms": CONFIG_APPLY_MS,
                       "drain_ms": DRAIN_MS, "ttl_max_s": 5}}

    def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        env["CAROBHATCH_SETTINGS"] = self.settings
        self.process = subprocess.Popen(
            shlex.split(self.bed.role["run"]), cwd=ROOT, env=env,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            preexec_fn=limit_memory)
        self.bed.record.add(f"gateway {self.name} started "
                            f"pid={self.process.pid}")

    def signal(self, number):
        self.bed.record.add(f"gateway {self.name} gets "
                            f"{signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self, timeout_s=1.0):
        answer = await call(self.ready, "GET", "/carobhatch/ready", [],
                            timeout_s=timeout_s)
        return answer.status == 200

    async def wait_ready(self):
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise NotRun(f"gateway {self.name} did not become ready")

    def close(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self.log.close()


def limit_memory():
    """Gives the process the memory of a machine of the deployment."""
    limit = MEMORY_MB * 1000 * 1000
    resource.setrlimit(resource.RLIMIT_DATA, (limit, limit))


# --- Callers --------------------------------------------------------------


class Answer:
    """`outcome` is "answer", "closed", "timeout" or "refused"; `is_whole` is
    true if the body has the announced length."""

    def __init__(self, outcome, status=0, fields=(), body=b"", is_whole=False):
        self.outcome = outcome
        self.status = status
        self.fields = list(fields)
        self.body = body
        self.is_whole = is_whole

    def __str__(self):
        if self.outcome != "answer":
            return self.outcome
        whole = "whole" if self.is_whole else "cut"
        return f"status={self.status} bytes={len(self.body)} {whole}"


async def exchange(reader, writer, request, timeout_s):
    """Sends the request on the open connection and reads one answer."""
    try:
        writer.write(request)
        head = await asyncio.wait_for(read_head(reader), timeout_s)
        if head is None:
            return Answer("closed")
        status = int(head[0].split(" ")[1])
        length = int(field(head[1], "content-length") or 0)
        try:
            body = await asyncio.wait_for(reader.readexactly(length),
                                          timeout_s)
        except asyncio.IncompleteReadError as error:
            return Answer("answer", status, head[1], error.partial, False)
        return Answer("answer", status, head[1], body, True)
    except asyncio.TimeoutError:
        return Answer("timeout")
    except ConnectionError:
        return Answer("closed")


def write_request(method, target, fields, body=b""):
    head = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    head += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, target, fields, body=b"", timeout_s=5.0):
    """One request on a connection of its own."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1.0)
    except asyncio.TimeoutError:
        return Answer("timeout")
    except OSError:
        return Answer("refused")
    try:
        return await exchange(reader, writer,
                              write_request(method, target, fields, body),
                              timeout_s)
    finally:
        writer.close()


class Bed:
    """A small deployment: a store, backend servers and gateways."""

    def __init__(self, folder):
        self.case_folder = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = free_network()
        self.store = Store(f"{self.ip(200)}:8102")
        self.searchers = []
        self.gateways = []
        self.request_serial = 0
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            deploy = tomllib.load(file)
        self.role = next(iter(deploy["roles"].values()))
        program = os.path.join(ROOT, shlex.split(self.role["run"])[0])
        if not os.access(program, os.X_OK):
            raise NotRun("the build of the deploy file is missing")

    def ip(self, index):
        return f"{self.net}.{index}"

    def request_id(self):
        self.request_serial += 1
        return f"{self.request_serial:04x}{random.getrandbits(48):012x}"

    async def add_searcher(self, service, zone="widzew", **settings):
        index = len(self.searchers) + 100
        searcher = Searcher(self, service, f"i-{service}-{index}",
                            f"{self.ip(index)}:8080", zone, **settings)
        self.searchers.append(searcher)
        await searcher.open()
        return searcher

    async def add_gateways(self, count):
        for _ in range(count):
            gateway = Gateway(self, len(self.gateways) + 1)
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def send(self, gateway, method, target, deadline_ms, body=b"",
                   timeout_s=None):
        """A caller's request; returns (request id, answer)."""
        request_id = self.request_id()
        self.record.add(f"caller sends id={request_id} to={gateway.name} "
                        f"{method} {target}")
        fields = [("X-Request-Id", request_id),
                  ("X-Request-Deadline-Ms", deadline_ms)]
        answer = await call(gateway.requests, method, target, fields, body,
                            timeout_s or deadline_ms / 1000 + 1)
        self.record.add(f"caller gets id={request_id} {answer}")
        return request_id, answer

    def close(self):
        for gateway in self.gateways:
            gateway.close()
        if os.environ.get("KEEP_LOGS") == "1":
            print(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_network():
    """Returns the first three bytes of loopback addresses that are unused."""
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (8104, 8108, 8100, 9464, 7380):
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", port))
            return net
        except OSError:
            continue
    raise NotRun("no free loopback addresses")


def shard(index):
    return f"shard{index}"


def route(name, prefix, **settings):
    base = {"name": name, "host": HOST, "path_prefix": prefix,
            "type": "idempotent", "timeout_ms": 6000,
            "target_latency_ms": 400, "priority": 1, "max_attempts": 2}
    base.update(settings)
    return base


def service(name, max_conns=96):
    return {"name": name, "health_path": "/health", "max_conns": max_conns,
            "protocol": "h1", "tls": False, "warmup_s": 3.0,
            "warmup_per_s": 0.0}


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def run(folder, case):
    """Runs `case(bed, has_trouble)`, which returns whether the rule held, and
    exits as the review's scripts do."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        # Processes are ended also when the script itself is told to stop.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            bed = Bed(folder)
        except NotRun as error:
            print(f"not run: {error}")
            return EXIT_NOT_RUN
        try:
            await bed.store.open()
            bed.record.say(f"trouble={'yes' if has_trouble else 'no'}")
            held = await asyncio.wait_for(case(bed, has_trouble), 110)
            bed.record.say("rule held" if held else "rule broken")
            return EXIT_HELD if held else EXIT_BROKEN
        except (NotRun, OSError, asyncio.TimeoutError,
                asyncio.CancelledError) as error:
            bed.record.say(f"not run: {error!r}")
            return EXIT_NOT_RUN
        finally:
            bed.close()

    code = asyncio.run(play())
    sys.stdout.flush()
    # The tasks of open connections need no orderly end.
    os._exit(code)
