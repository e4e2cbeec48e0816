"""Starts and stops the processes of a benchmark on loopback, declares their resources and reads their usage."""
import json
import pathlib
import signal
import subprocess
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build"
BACKENDS_PER_PROCESS = 40


class Fleet:
    """The processes of one benchmark run."""

    def __init__(self, folder, log_level="warn"):
        self.folder = pathlib.Path(folder)
        self.log_level = log_level
        self.children = []

    def start(self, name, binary, settings):
        """Starts a process; returns the ports from its ready file."""
        ready = self.folder / f"{name}.port"
        settings = dict(settings, ready_file=json.dumps(str(ready)))
        args = [str(BIN / binary), "--log-level", self.log_level]
        for key, value in settings.items():
            args += ["--set", f"{key}={value}"]
        log = open(self.folder / f"{name}.log", "w")
        self.children.append(subprocess.Popen(args, stderr=log))
        for _ in range(300):
            if ready.exists():
                return [int(port) for port in ready.read_text().split(",")]
            time.sleep(0.1)
        raise RuntimeError(f"{name} did not start; see {self.folder}/{name}.log")

    def stop(self):
        for child in self.children:
            child.send_signal(signal.SIGTERM)
        for child in self.children:
            try:
                child.wait(timeout=15)
            except subprocess.TimeoutExpired:
                child.kill()


def start_backends(fleet, spec):
    """Starts the backend servers of the service, several per process; returns (name, port, shards) of each."""
    service, shards, replicas, slots, connections = spec["service"]
    layout = [[shard] for shard in range(shards) for _ in range(replicas)]
    backends = []
    for first in range(0, len(layout), BACKENDS_PER_PROCESS):
        part = layout[first:first + BACKENDS_PER_PROCESS]
        name = f"be{first // BACKENDS_PER_PROCESS}"
        ports = fleet.start(name, "cornel-backend", {
            "name": json.dumps(name), "service": json.dumps(service), "shard_count": shards, "slots": slots,
            "max_connections": connections, "work_ms": float(spec["work_ms"]), "corpus.max_documents": 4000,
            "instances": json.dumps([",".join(map(str, held)) for held in part])})
        backends += [(f"{name}-{i}", port, part[i]) for i, port in enumerate(ports)]
    return backends


def apply_resources(fleet, spec, store, backends):
    """Declares the service and its backend servers with cornel-ctl."""
    service, shards, _, slots, connections = spec["service"]
    resources = [{"kind": "service", "name": service, "spec": {"customer": spec["customer"], "shards": shards}}]
    for name, port, held in backends:
        resources.append({"kind": "backend", "name": name, "spec": {
            "address": f"127.0.0.1:{port}", "service": service, "shards": held, "slots": slots,
            "connections": connections}})
    path = fleet.folder / "resources.json"
    path.write_text(json.dumps(resources))
    subprocess.run([BIN / "cornel-ctl", "--set", f'store.address="{store}"', "apply", path], check=True,
                   stdout=subprocess.DEVNULL)


def usage(pid):
    """Returns (CPU seconds, resident MB) of a process, from /proc."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    resident = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
    return ticks / 100.0, resident / 1024.0


def metrics(address):
    """Returns the metrics of an entry node as {name with labels: value}."""
    text = urllib.request.urlopen(f"http://{address}/metrics", timeout=10).read().decode()
    pairs = (line.rsplit(" ", 1) for line in text.splitlines() if line and not line.startswith("#"))
    return {name: float(value) for name, value in pairs}
