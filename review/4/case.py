"""A prompt part crashes engines, and the processes of all machines are killed now and then."""

import asyncio
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import rig as lib  # noqa: E402

CONTACT_S = 3.0
BACK_S = 2.0
EXPIRY_S = 3.6
RESTART_S = 0.3
# One request with the part each 4.5 s; kills of all processes, in seconds from the start of traffic.
FATAL_GAP_S = 4.5
KILLS_AT_S = [9.3, 22.8, 36.3]
TRAFFIC_S = 52.0
SOUND_RATE = 8.0
ENGINES = 6
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-notice", "host": "h.example", "prefix": "/notice/",
                "routeKind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 800,
                "priority": 1, "service": "roster-llm", "maxAttempts": 1, "public": False,
                "sticky": True, "resumable": False, "targetGapMs": 300}],
    "services": [{"name": "roster-llm", "healthPath": "/healthz", "maxConnections": 360,
                  "coldStartS": 0, "coldPerS": 0, "engine": {"kvCapacityTokens": 498633}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
               "idleTimeoutMs": 30000, "tokensPerS": 0},
    "tenants": [{"name": "t1", "apiKeys": ["key-of-t1"]}]}


async def case(rig):
    arrivals = []
    crashes = []
    later = []
    started = {}
    down = {}

    async def replace(engine):
        """Brings the engine back under a new id; its old entry expires after three heartbeats."""
        await asyncio.sleep(BACK_S)
        follower = lib.Engine(rig, f"{engine.id}n", engine.service, engine.zone, work)
        rig.engines.append(follower)
        await follower.start(engine.ip, engine.port)
        await asyncio.sleep(EXPIRY_S - BACK_S)
        await rig.store.remove(f"servers/{engine.id}")

    async def work(engine, request):
        ident = request.get("X-Attempt-Id")
        if "fa7a1:" in request.get("X-Prefix-Hash"):
            arrivals.append((time.monotonic(), ident))
            rig.record.line("engine", engine.id, "begins to answer", ident, "and crashes")
            crashes.append(time.monotonic())
            engine.crash()
            later.append(asyncio.create_task(replace(engine)))
            await asyncio.sleep(1)
        await asyncio.sleep(0.2)
        return 200, [("Content-Type", "text/event-stream")], b"id: 1\ndata: notice\n\n"

    zones = ["nashua", "lowell", "concord"]
    engines = [lib.Engine(rig, f"i-llm-{n + 1}", "roster-llm", zones[n % 3], work)
               for n in range(ENGINES)]
    await rig.start(CONFIG, engines, zones)
    for edge in rig.edges:
        started[edge.name] = time.monotonic() - 10
    counts = {}
    begin = time.monotonic()

    async def ask(edge, ident, prompt):
        connection = lib.Client(rig, edge)
        try:
            await connection.connect()
            answer = await connection.ask(
                "POST", "/notice/x", ident, 6000, key="key-of-t1", body=b"?",
                fields=[("X-Model", "m"), ("X-Token-Usage", "140,20"), ("X-Prefix-Hash", prompt)])
            outcome = answer.status
        except (lib.Broken, OSError, asyncio.TimeoutError) as error:
            outcome = type(error).__name__
        finally:
            connection.close()
        kind = "fatal" if "fa7a1" in prompt else "sound"
        counts[(kind, outcome)] = counts.get((kind, outcome), 0) + 1
        rig.record.line(kind, "request", ident, "at", edge.name, "answered", outcome)

    async def traffic(kind, gap):
        number = 0
        tasks = []
        while time.monotonic() < begin + TRAFFIC_S:
            edge = rig.edges[number % len(rig.edges)]
            number += 1
            ident = f"{kind[0]}{edge.number}{number:014x}"
            part = "fa7a1:30" if kind == "fatal" else "b2:30"
            tasks.append(asyncio.create_task(ask(edge, ident, f"a1:100,{part},{number + 4096:x}:10")))
            await asyncio.sleep(gap)
        await asyncio.gather(*tasks)

    async def kills():
        for at in KILLS_AT_S:
            await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
            for edge in rig.edges:
                down.setdefault(edge.name, []).append(time.monotonic())
                edge.signal(signal.SIGKILL)
            await asyncio.gather(*(edge.restart_after(RESTART_S) for edge in rig.edges))
            for edge in rig.edges:
                started[edge.name] = time.monotonic()

    def is_in_touch(edge, at):
        """True if the process ran for the whole contactMs before this moment."""
        return all(not at - CONTACT_S - 1.0 < killed <= at for killed in down.get(edge.name, []))

    jobs = [traffic("fatal", FATAL_GAP_S), traffic("sound", 1 / SOUND_RATE)]
    if rig.is_troubled:
        jobs.append(kills())
    await asyncio.gather(*jobs)
    for task in later:
        task.cancel()
    if len(crashes) < 5:
        counted = []
    else:
        by_number = {str(edge.number): edge for edge in rig.edges}
        counted = [ident for at, ident in arrivals
                   if at > crashes[4] + CONTACT_S and is_in_touch(by_number[ident[1]], at)]
    rig.record.line(f"{len(crashes)} engines crashed; later than contactMs after the fifth crash,",
                    f"machines in touch sent {len(counted)}: {counted}; allowed are 3;",
                    f"answers: {counts}")
    if len(counted) > 3:
        return (f"BUDGET, {len(counted)} requests with the part reached engines later than contactMs "
                f"after the fifth crash, from machines in touch; {len(crashes)} engines crashed")
    return ""


lib.run(HERE, case)
