#!/usr/bin/env python3
"""Randomised soak test with fault injection: runs the real programs as processes on loopback and checks invariants.

Gateways reach the store and the backend servers through TCP proxies in this script, which delay, reset, refuse or
stall connections. Gateways are stopped, killed and paused with signals. The responses that callers receive and the
requests that backend servers receive are checked during the run and after it. A seed determines the sequence of
faults; their exact timing depends on the machine.
"""
import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import customers

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SHARDS = ["g0", "g1", "g2", "g3", "g4", "g5"]
HOST = "h.example"
REFUSALS = {401, 503, 429, 408, 421}  # Status codes which state that the request has not run and will not run.
DRAIN_S = 3.0  # Time after which a draining backend server receives no new requests.
CONFIG_APPLY_S = 3.0  # Time after which every gateway applies a written configuration.
CRASH_FORMS = ("end", "reset", "half_head", "half_body")  # What a crash of a backend server shows its callers.
QUARANTINE_KNOWN_S = 5.0  # Time after which all gateways have received the quarantine of a request (three crashes).
MAX_REPEATS = 3  # Largest number of repetitions of a quarantined request that reach backend servers from then on.
EVACUATE_S = 3.0  # Time after which an evacuated failure domain receives no new requests.
HOME = "d1"  # Failure domain of the home region: the only region allowed for the route with home_regions.
COLD_S = 3.0  # Time for which a backend server is cold.
COLD_PER_S = 4  # Requests per second that the configuration allows a cold backend server.
COLD_MAX_PER_S = COLD_PER_S * 1.5 + 5  # Largest number of requests within a second from all gateways together.
COLD_NOTIFY_S = 1.0  # Time after which the gateways have received the cold registration; the rate is checked from then.
STALL_CHECK_S, STALL_MIN_S = 0.01, 0.1  # Interval of the check for stalls of this process; shortest reported stall.
RECOVERY_S = 12.0  # Time after the last fault within which all gateways are ready again.


class Proxy:
    """TCP proxy to one target. Modes: ok, delay, silent (forwards nothing), refuse (resets new connections)."""

    def __init__(self, target):
        self.target, self.mode, self.delay_s, self.port = target, "ok", 0.0, 0
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        try:
            await asyncio.gather(self.forward(reader, up_writer), self.forward(up_reader, writer))
        except asyncio.CancelledError:
            return  # The run has finished.
        self.writers -= {writer, up_writer}

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.mode == "silent":
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, ConnectionError):
            writer.transport.abort()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()


async def exchange(reader, writer, request):
    """Sends raw bytes and reads one response. Returns (status, headers, body); raises when it is incomplete."""
    writer.write(request)
    await writer.drain()
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:] if line)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(lines[0].split()[1]), headers, body


async def call(port, method, path, body=None, host="127.0.0.1"):
    """Sends one request on a new connection. Returns (status, JSON body)."""
    reader, writer = await asyncio.open_connection(host, port)
    data = json.dumps(body).encode() if body is not None else b""
    request = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
    response = await asyncio.wait_for(exchange(reader, writer, request), 5)
    writer.close()
    return response[0], json.loads(response[2] or b"null")


class Soak:
    """One soak run: processes, proxies, callers, faults and checks."""

    def __init__(self, seed, seconds, gateways, folder, with_customers):
        self.random, self.seconds, self.folder = random.Random(seed), seconds, folder
        self.gateway_count, self.processes, self.proxies = gateways, {}, {}
        self.violations, self.stats = [], collections.Counter()
        self.config_lock = asyncio.Lock()  # Versions are written in their order.
        self.config_version, self.configs = 0, {}  # version -> (shards, time of the acknowledged write)
        self.disturbed_until = {}  # name of a process or proxy -> time until which a fault may affect it
        self.outcomes = {}  # request id of a write -> status, or "cut" without a response
        self.dropped_connections = []  # (request id, gateway, time, exception) of requests without a response
        self.drained = {}  # backend server -> time at which it was drained
        self.stalls = []  # (start, end) of the times in which this process stalled
        self.stored_items = {}  # key -> value of the items written by operators and backend servers
        self.store_available = asyncio.Event()  # Cleared while the store is unreachable and restored from a copy.
        self.store_available.set()
        self.cold = set()  # backend servers that are registered as cold
        # Without customers, requests need no key.
        self.customers = customers.Customers(self, exchange, HOST, CONFIG_APPLY_S) if with_customers else None
        self.authorization = customers.authorization(self.customers.keys["steady"]) if self.customers else ""
        self.net = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}."

    def violation(self, text):
        self.violations.append(text)
        print(f"VIOLATION at {time.monotonic() - self.started:.3f} s: {text}", flush=True)

    def spawn(self, name, binary, *args):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen([ROOT / "build" / binary, *args], stdout=log, stderr=log)

    async def start_with_port(self, name, binary, *args):
        ready = self.folder / f"{name}.port"
        self.spawn(name, binary, *args, "--set", f'ready_file="{ready}"')
        for _ in range(200):
            if ready.exists() and ready.read_text():
                return int(ready.read_text())
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{name} did not start")

    def address(self, number):
        return f"{self.net}{number}"

    def start_gateway(self, number):
        host = self.address(number)
        domain = f"d{number % 2 + 1}"
        settings = {
            "node_name": f"gw-{number}", "ip": host, "zone": domain, "region": f"r-{domain}",
            "zones": {"d1": "r-d1", "d2": "r-d2"},
            "bind_addrs": {"frontend": f"{host}:18104", "ready": f"{host}:18108", "control_plane": f"{host}:18106",
                           "directory": f"{host}:18100"},
            "seeds": [f"{self.address(1)}:18106", f"{self.address(2)}:18106"],
            "limits": {"cpu_share": 1.0, "cores": 1},
            "platform": {"address": f"127.0.0.1:{self.proxies['store'].port}"},
            "bounds": {"retry_ratio": 0.2, "retry_slack": 200, "retry_window_s": 10, "grace_s": 3, "drain_ms": 3000,
                       "config_apply_ms": 3000, "ttl_max_s": 5, "warmup_over": 1.5, "warmup_slack": 5}}
        path = self.folder / f"gw-{number}.json"
        path.write_text(json.dumps(settings))
        self.spawn(f"gw-{number}", "cornel-gateway", "--set", f'platform_settings="{path}"')

    async def call_store(self, path, body):
        return await call(self.store_port, "POST", f"/stand-in/{path}", body)

    async def write_config(self, shards):
        async with self.config_lock:
            await self.write_next_config(shards)

    async def write_next_config(self, shards):
        await self.store_available.wait()
        self.config_version += 1
        base = {"hostname": HOST, "timeout_ms": 2000, "goal_ms": 400, "priority": 1, "attempts": 2}
        routes = [{**base, "name": "q", "prefix": "/q/", "route_type": "idempotent", "gather": shards, "top_k": 4,
                   "min_coverage": 0.5},
                  {**base, "name": "h", "prefix": "/h/", "route_type": "idempotent", "gather": shards, "top_k": 4,
                   "min_coverage": 0.5, "home_regions": [f"r-{HOME}"]},
                  {**base, "name": "r", "prefix": "/r/", "route_type": "idempotent", "service": "s"},
                  {**base, "name": "w", "prefix": "/w/", "route_type": "non_idempotent", "service": "s"}]
        services = [{"name": name, "health_path": "/health", "max_conns": 60, "warmup_s": COLD_S,
                     "warmup_per_s": COLD_PER_S} for name in [*SHARDS, "s"]]
        config = {"version": self.config_version, "routes": routes, "services": services,
                  "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 2000,
                             "idle_timeout_ms": 5000}}
        if self.customers:
            config["tenants"] = self.customers.definitions()
        self.configs[self.config_version] = (shards, float("inf"))
        await self.write_item("op/config", config)
        self.configs[self.config_version] = (shards, time.monotonic())

    async def write_item(self, key, value):
        """Writes an item of an operator or a backend server, and records it to rewrite it after a restore."""
        await self.store_available.wait()
        self.stored_items[key] = value
        await self.call_store("put", {"key": key, "value": value})

    async def remove_item(self, key):
        """Removes an item of an operator."""
        await self.store_available.wait()
        self.stored_items.pop(key, None)
        await self.call_store("drop", {"key": key})

    async def start_all(self):
        self.started = time.monotonic()
        self.store_port = await self.start_with_port("store", "cornel-stand-in", "store")
        services = json.dumps([*SHARDS, "s"])
        self.backends_port = await self.start_with_port(
            "backends", "cornel-stand-in", "backends", "--set", f"services={services}", "--set", 'domains=["d1","d2"]')
        self.proxies["store"] = Proxy(self.store_port)
        _, entries = await call(self.backends_port, "POST", "/entries", {})
        for name, entry in entries.items():
            self.proxies[name] = Proxy(int(entry["address"].split(":")[1]))
        for proxy in self.proxies.values():
            await proxy.start()
        self.entries = {name: {**entry, "address": f"127.0.0.1:{self.proxies[name].port}"} for name, entry in entries.items()}
        for name, entry in self.entries.items():
            await self.write_item(f"servers/{name}", entry)
        await self.write_config(SHARDS)
        for number in range(1, self.gateway_count + 1):
            self.start_gateway(number)
        await self.await_all_ready(20)

    async def is_ready(self, number):
        try:
            status, _ = await call(18108, "GET", "/cornelspring/ready", host=self.address(number))
            return status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, json.JSONDecodeError):
            return False

    async def await_all_ready(self, limit_s):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all([await self.is_ready(n) for n in range(1, self.gateway_count + 1)]):
                return
            await asyncio.sleep(0.1)
        self.violation(f"not all gateways ready within {limit_s} s")

    async def watch_stalls(self):
        """Records when this process stalled: all connections to the store and the backend servers pass through it."""
        while True:
            started = time.monotonic()
            await asyncio.sleep(STALL_CHECK_S)
            late = time.monotonic() - started - STALL_CHECK_S
            if late > STALL_MIN_S:
                self.stalls.append((started, started + STALL_CHECK_S + late))
                print(f"stalled for {late * 1000:.0f} ms until {time.monotonic() - self.started:.3f} s, "
                      f"{time.time():.3f}", flush=True)

    # ---- Callers ----

    async def caller(self, number):
        """Sends requests over keep-alive connections until the run stops the callers."""
        rng = random.Random(f"{number}-{self.random.random()}")
        connection, gateway = None, 1
        count = 0
        while not self.stop_callers:
            await asyncio.sleep(rng.expovariate(15))
            count += 1
            request_id = f"c{number}-{count}"
            kind = rng.choice("qqrwh")
            method, body = ("POST", f"entry {request_id}") if kind == "w" else ("GET", "")
            request = (f"{method} /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\nDeadline: 1500\r\n"
                       f"{self.authorization}Content-Length: {len(body)}\r\n\r\n{body}").encode()
            try:
                if connection is None:
                    gateway = rng.randint(1, self.gateway_count)
                    connection = await asyncio.wait_for(asyncio.open_connection(self.address(gateway), 18104), 1)
                response = await asyncio.wait_for(exchange(*connection, request), 4)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.LimitOverrunError) as failure:
                self.stats["no answer"] += 1
                if connection is not None:
                    self.dropped_connections.append((request_id, gateway, time.monotonic(), type(failure).__name__))
                    connection[1].close()
                    if kind == "w":
                        self.outcomes[request_id] = "cut"
                connection = None
                continue
            self.check(kind, request_id, response)
            if response[1].get("connection") == "close" or rng.random() < 0.05:
                connection[1].close()
                connection = None

    def check(self, kind, request_id, response):
        status, headers, body = response
        self.stats[f"{kind} {status}"] += 1
        if kind == "w":
            self.outcomes[request_id] = status
        if status != 200:
            return
        if kind in "qh":
            self.check_query(request_id, headers, body)
        elif not headers.get("server-stamp", "").endswith("." + request_id):
            self.violation(f"{request_id}: response of another request: {headers.get('server-stamp')}")
        elif kind == "w" and body != f"ran entry {request_id}".encode():
            self.violation(f"{request_id}: wrong body")

    def check_query(self, request_id, headers, body):
        stamps = headers.get("part-stamps", "").split(", ")
        missing = int(headers.get("missing-parts", "0"))
        services = [stamp.split("-")[1] for stamp in stamps]
        if any(not stamp.endswith("." + request_id) for stamp in stamps):
            self.violation(f"{request_id}: shard response of another request: {stamps}")
        if len(set(services)) != len(services):
            self.violation(f"{request_id}: two responses of one shard")
        if not any(set(services) <= set(shards) and len(services) + missing == len(shards)
                   for shards, _ in self.configs.values()):
            self.violation(f"{request_id}: parts {services} and {missing} missing match no configuration")
        records = [body[at:at + 16] for at in range(0, len(body), 16)]
        if len(body) != 64 or records != sorted(records, reverse=True):
            self.violation(f"{request_id}: records are not the greatest ones in descending order")

    # ---- Faults ----

    def mark_disturbed(self, name, for_s):
        """Records that a fault and its consequences affect @p name for the given time."""
        self.disturbed_until[name] = max(self.disturbed_until.get(name, 0), time.monotonic() + for_s)

    async def fault_proxy(self, name):
        proxy, mode = self.proxies[name], self.random.choice(["delay", "silent", "refuse", "reset"])
        for_s = self.random.uniform(0.3, 4)
        self.mark_disturbed(name, for_s + 3)
        if mode == "reset":
            proxy.reset_all()
            return
        proxy.delay_s, proxy.mode = self.random.uniform(0.05, 0.6), mode
        if mode == "refuse":
            proxy.reset_all()
        await asyncio.sleep(for_s)
        if proxy.mode == "silent":
            proxy.reset_all()
        proxy.mode = "ok"

    async def fault_gateway(self):
        number = self.random.randint(1, self.gateway_count)
        name, how = f"gw-{number}", self.random.choice(["term", "kill", "pause", "hup"])
        process = self.processes[name]
        if self.disturbed_until.get(name, 0) > time.monotonic() or name in self.restarting:
            return
        if how == "hup":
            process.send_signal(signal.SIGHUP)
        elif how == "pause":
            for_s = self.random.uniform(0.2, 3)
            self.mark_disturbed(name, for_s + 4)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            process.send_signal(signal.SIGCONT)
        else:
            self.mark_disturbed(name, 8 if how == "kill" else 0.01)
            process.send_signal(signal.SIGKILL if how == "kill" else signal.SIGTERM)
            self.restarting.add(name)
            while process.poll() is None:
                await asyncio.sleep(0.02)
            if how == "term" and process.returncode != 0:
                self.violation(f"{name} exited with {process.returncode} after SIGTERM")
            self.mark_disturbed(name, 3)  # Callers still use its address.
            await asyncio.sleep(self.random.uniform(0.05, 1))
            self.start_gateway(number)
            self.restarting.discard(name)

    async def fault_backend(self):
        name = self.random.choice(list(self.entries))
        self.mark_disturbed(name, 4)
        mode = self.random.choice(["shed", "error", "hang", "reset", "silent_run", "extra", "late_extra", "late_rejection",
                                   "unframed", "truncated", "no_signature", "encoded", "early"])
        await call(self.backends_port, "POST", "/behave", {"backend": name, "mode": mode})
        await asyncio.sleep(self.random.uniform(0.3, 4))
        await call(self.backends_port, "POST", "/behave", {"backend": name, "mode": "ok"})
        self.mark_disturbed(name, 2)

    async def fault_store(self):
        fault = self.random.choice([{"mode": "busy"}, {"mode": "silent"}, {"deaf_watches": True}, {"lose_writes": 3}])
        for_s = self.random.uniform(0.3, 4)
        self.mark_disturbed("store", for_s + 3)
        await self.call_store("fault", fault)
        await asyncio.sleep(for_s)
        await self.call_store("fault", {"mode": "ok", "deaf_watches": False, "lose_writes": 0})

    async def restore_store(self):
        """Restores the store from a copy some seconds old in an outage; operators and servers rewrite their items."""
        if not self.store_available.is_set():
            return
        await self.call_store("copy", {})
        await asyncio.sleep(self.random.uniform(0.2, 4))
        if not self.store_available.is_set():
            return
        self.store_available.clear()
        for_s, again_s = self.random.uniform(0.1, 2), self.random.uniform(0, 1.5)
        self.mark_disturbed("store", for_s + again_s + 3)
        await self.call_store("fault", {"mode": self.random.choice(["busy", "silent"])})
        await asyncio.sleep(for_s)
        if self.random.random() < 0.3:
            await self.call_store("restore", {})  # Two restores in succession.
        await self.call_store("restore", {})
        await self.call_store("fault", {"mode": "ok", "deaf_watches": False, "lose_writes": 0})
        await asyncio.sleep(again_s)
        await self.rewrite_items()
        self.stats["returns to a copy"] += 1
        self.store_available.set()

    async def rewrite_items(self):
        """Brings the items of operators and backend servers up to date after a restore."""
        _, held = await self.call_store("keys", {})
        for key in held:
            if key.startswith(("op/", "servers/")) and key not in self.stored_items:
                await self.call_store("drop", {"key": key})
        for key, value in self.stored_items.items():
            if key not in held or self.parsed(held[key]) != value:
                await self.call_store("put", {"key": key, "value": value})

    @staticmethod
    def parsed(text):
        """Returns the JSON value of @p text, or None when it is malformed."""
        try:
            return json.loads(text)
        except json.JSONDecodeError:
            return None

    async def change_config(self):
        await self.write_config(self.random.sample(SHARDS, self.random.randint(3, len(SHARDS))))

    async def drain_backend(self):
        name = self.random.choice([each for each in self.entries if each not in {*self.drained, *self.cold}])
        await self.write_item(f"servers/{name}", {**self.entries[name], "state": "draining"})
        at = time.monotonic()
        self.drained[name] = at
        await asyncio.sleep(DRAIN_S + 2)
        if self.disturbed_until.get("store", 0) < at:
            _, journal = await call(self.backends_port, "POST", "/journal", {})
            late = [e for e in journal if e["backend"] == name and e["at_ms"] / 1000 > at + DRAIN_S]
            if late:
                self.violation(f"{name} drained at {at - self.started:.3f} got {len(late)} requests after {DRAIN_S} s")
        await self.write_item(f"servers/{name}", self.entries[name])
        del self.drained[name]

    def undisturbed_since(self, at):
        """Returns whether no fault has affected the store or a gateway since @p at."""
        return all(self.disturbed_until.get(name, 0) < at for name in ["store", *(f"gw-{n}" for n in range(1, 99))])

    async def evacuate(self):
        """Evacuates one failure domain at a time: it must receive no new requests until the evacuation ends."""
        if self.evacuation_active:
            return
        self.evacuation_active = True
        domain = self.random.choice(["d1", "d2"])
        await self.write_item(f"op/evacuate/{domain}", {})
        at = time.monotonic()
        await asyncio.sleep(EVACUATE_S + 3)
        _, journal = await call(self.backends_port, "POST", "/journal", {})
        late = [e["id"] for e in journal
                if self.entries[e["backend"]]["zone"] == domain and e["at_ms"] / 1000 > at + EVACUATE_S]
        if late and self.undisturbed_since(at):
            self.violation(f"{domain}, evacuated at {at - self.started:.3f}, got {len(late)} requests after {EVACUATE_S} s")
        await self.remove_item(f"op/evacuate/{domain}")
        self.stats["evacuations"] += 1
        self.evacuation_active = False

    async def mark_server_cold(self):
        """Registers a backend server as cold: all gateways together must not exceed its rate of requests."""
        name = self.random.choice([each for each in self.entries if each not in self.drained])
        if name in self.cold:
            return
        self.cold.add(name)
        await self.write_item(f"servers/{name}", {**self.entries[name], "warmup_left_ms": COLD_S * 1000})
        at = time.monotonic()
        await asyncio.sleep(COLD_S)
        _, journal = await call(self.backends_port, "POST", "/journal", {})
        times = sorted(e["at_ms"] / 1000 for e in journal if e["backend"] == name)
        times = [each for each in times if at + COLD_NOTIFY_S < each < at + COLD_S]
        peak = max((sum(start <= each < start + 1 for each in times) for start in times), default=0)
        if peak > COLD_MAX_PER_S and self.undisturbed_since(at):
            self.violation(f"{name}, cold since {at - self.started:.3f}, got {peak} requests within one second")
        await self.write_item(f"servers/{name}", self.entries[name])
        self.stats["cold servers"] += 1
        self.cold.discard(name)

    async def repeat_crashing_query(self):
        """Repeats a query that crashes each backend server that runs it, at random gateways."""
        if self.crashing_query_active:
            return
        self.crashing_query_active = True
        path, for_s = f"/q/crash-{self.random.random()}", 12
        form = random.Random(path).choice(CRASH_FORMS)  # Leaves the rest of the seed's plan as it is.
        self.mark_disturbed("backends", for_s + 3)
        await call(self.backends_port, "POST", "/behave",
                   {"crash_path": path, "crash_form": form, "down_ms": 400})
        sent, until = {}, time.monotonic() + for_s
        while time.monotonic() < until:
            request_id, gateway = f"crash-{self.random.random()}", self.random.randint(1, self.gateway_count)
            request = (f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\nDeadline: 800\r\n"
                       f"{self.authorization}\r\n")
            sent[request_id] = (time.monotonic(), gateway)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(self.address(gateway), 18104), 1)
                await asyncio.wait_for(exchange(reader, writer, request.encode()), 2)
                writer.close()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass  # The gateway is stopped or paused; the next repetition may use another one.
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
        await call(self.backends_port, "POST", "/behave", {"crash_path": ""})
        await self.check_crashing_query(path, sent)
        self.crashing_query_active = False

    async def check_crashing_query(self, path, sent):
        _, journal = await call(self.backends_port, "POST", "/journal", {})
        runs = [e for e in journal if e["line"] == f"GET {path}" and e["ran"]]
        if len(runs) < 3:
            return
        known_at = sorted(e["at_ms"] for e in runs)[2] / 1000 + QUARANTINE_KNOWN_S
        repeats = {e["id"] for e in journal if e["line"] == f"GET {path}"}
        late = [i for i in repeats if sent[i][0] > known_at and self.undisturbed_before(*sent[i])]
        self.stats["repeats of a crashing query"] += len(late)
        self.stats["crashing queries"] += 1
        if len(late) > MAX_REPEATS:
            self.violation(f"{path} reached servers in {len(late)} repetitions after {known_at - self.started:.3f}: {late}")

    def undisturbed_before(self, at, gateway):
        """Returns whether no fault affected the store or the gateway in the last QUARANTINE_KNOWN_S before @p at."""
        return all(self.disturbed_until.get(name, 0) < at - QUARANTINE_KNOWN_S for name in ("store", f"gw-{gateway}"))

    async def faults(self):
        """Starts faults at random times; faults may overlap."""
        kinds = [lambda: self.fault_proxy("store"), lambda: self.fault_proxy(self.random.choice(list(self.entries))),
                 self.fault_gateway, self.fault_gateway, self.fault_backend, self.fault_backend, self.fault_store,
                 self.change_config, self.restore_store, self.drain_backend, self.repeat_crashing_query, self.evacuate,
                 self.mark_server_cold]
        if self.customers:
            kinds += [self.customers.rotate, self.customers.rotate, self.customers.write_malformed]
        running, until = [], time.monotonic() + self.seconds
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(1.2))
            running.append(asyncio.create_task(self.random.choice(kinds)()))
        await asyncio.gather(*running)

    # ---- Final checks ----

    async def check_recovery(self):
        """Checks that every gateway serves queries with the most recent configuration."""
        await self.await_all_ready(RECOVERY_S)
        await asyncio.sleep(CONFIG_APPLY_S)
        shards = self.configs[self.config_version][0]
        for number in range(1, self.gateway_count + 1):
            for attempt in range(5):
                request_id = f"end-{number}-{attempt}"
                request = (f"GET /q/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\nDeadline: 1500\r\n"
                           f"{self.authorization}\r\n").encode()
                reader, writer = await asyncio.open_connection(self.address(number), 18104)
                response = await asyncio.wait_for(exchange(reader, writer, request), 4)
                writer.close()
                self.check("q", request_id, response)
                parts = response[1].get("part-stamps", "").split(", ")
                if response[0] != 200 or len(parts) + int(response[1].get("missing-parts", 0)) != len(shards):
                    self.violation(f"{request_id}: after all faults {response[0]}, {len(parts)} parts of {len(shards)}")

    async def check_journal(self):
        _, journal = await call(self.backends_port, "POST", "/journal", {})
        runs, reached = collections.Counter(), collections.Counter()
        for entry in journal:
            reached[entry["id"]] += 1
            runs[entry["id"]] += 1 if entry["ran"] else 0
        if self.customers:
            self.customers.check_journal(journal)
        elsewhere = {e["id"] for e in journal if e["line"] == "GET /h/x" and self.entries[e["backend"]]["zone"] != HOME}
        if elsewhere:
            self.violation(f"{len(elsewhere)} requests with homes reached other regions: {sorted(elsewhere)[:5]}")
        for request_id, outcome in self.outcomes.items():
            if runs[request_id] > 1:
                self.violation(f"{request_id} ran {runs[request_id]} times")
            if outcome in REFUSALS and runs[request_id] > 0:
                self.violation(f"{request_id} was rejected with {outcome} and ran")
        for request_id, gateway, at, how in self.dropped_connections:
            undisturbed = self.disturbed_until.get(f"gw-{gateway}", 0) < at - 4
            if undisturbed and reached[request_id] > 0 and how != "TimeoutError":
                self.violation(f"{request_id}: reached a server, but cut by gw-{gateway} at {at - self.started:.3f} ({how})")
        for name, process in self.processes.items():
            if process.poll() not in (None, 0):
                self.violation(f"{name} exited unexpectedly with {process.returncode}")

    async def run(self):
        self.stop_callers, self.crashing_query_active, self.restarting = False, False, set()
        self.evacuation_active = False
        try:
            await self.start_all()
            stall_watch = asyncio.create_task(self.watch_stalls())
            callers = [asyncio.create_task(self.caller(number)) for number in range(12)]
            callers += self.customers.callers() if self.customers else []
            await self.faults()
            await self.check_recovery()
            if self.customers:
                await self.customers.check_keys()
                await self.customers.check_no_key()
            self.stop_callers = True
            await asyncio.gather(*callers)
            await self.check_journal()
            stall_watch.cancel()
        finally:
            for process in self.processes.values():
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        return not self.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=random.randrange(1 << 30))
    parser.add_argument("--seeds", type=int, default=1, help="number of runs, with consecutive seeds from --seed")
    parser.add_argument("--seconds", type=float, default=20, help="time during which faults are started")
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--customers", action=argparse.BooleanOptionalAction,
                        help="whether customers with keys and quotas are configured; default: with even seeds")
    args = parser.parse_args()
    failed = []
    for seed in range(args.seed, args.seed + args.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"cornelspring-soak-{seed}-"))
        with_customers = seed % 2 == 0 if args.customers is None else args.customers
        soak = Soak(seed, args.seconds, args.gateways, folder, with_customers)
        ok = asyncio.run(soak.run())
        print(f"seed {seed}: {'ok' if ok else 'FAILED'} {dict(sorted(soak.stats.items()))} logs in {folder}", flush=True)
        if not ok:
            failed.append(seed)
    print(f"{args.seeds - len(failed)} passed, {len(failed)} failed {failed or ''}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
