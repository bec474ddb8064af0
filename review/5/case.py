"""The processes of all machines are killed while an engine is cold."""

import asyncio
import os
import random
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import rig as lib  # noqa: E402

# The site's figures: cold_s, cold_per_s, coldOverage, coldTolerance.
COLD_S, COLD_PER_S, OVERAGE, TOLERANCE = 3.0, 6.3, 1.5, 5
BOUND = COLD_PER_S * OVERAGE + TOLERANCE
# A cold engine ends at a rate well above the bound.
CRASH_AT = 1.4 * BOUND
RATE = 60.0
RESTART_S = 0.5
KILL_AFTER_S = 1.4
# The number of machines whose processes are killed: all of them, if the caller says nothing else.
KILLS = int(os.environ.get("KILLS", "6"))
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-book", "host": "h.example", "prefix": "/book/", "routeKind": "unsafe",
                "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "roster-app",
                "maxAttempts": 1, "public": False, "sticky": False, "resumable": False,
                "targetGapMs": 0}],
    "services": [{"name": "roster-app", "healthPath": "/healthz", "maxConnections": 96,
                  "coldStartS": COLD_S, "coldPerS": COLD_PER_S}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
               "idleTimeoutMs": 30000, "tokensPerS": 0},
    "tenants": [{"name": "t1", "apiKeys": ["key-of-t1"]}]}


async def case(rig):
    random.seed(1)

    async def work(engine, request):
        now = time.monotonic()
        recent = sum(1 for at, _ in engine.arrivals if at > now - 1.0)
        if engine.cold_left_ms() > 0 and recent > CRASH_AT:
            engine.crash()
        await asyncio.sleep(0.06)
        return 200, [("Content-Type", "text/plain")], b"booked"

    zones = ["nashua", "nashua", "lowell", "lowell", "concord", "manchester"]
    engine = lib.Engine(rig, "i-app-1", "roster-app", "lowell", work, slots=16, queue=64)
    await rig.start(CONFIG, [engine], zones)
    counts = {}
    lost = []
    restarted = [time.monotonic() + 1000]

    async def book(number):
        edge = rig.edges[number % len(rig.edges)]
        ident = f"{number:016d}"
        connection = lib.Client(rig, edge)
        outcome = "lost"
        sent = time.monotonic()
        try:
            await connection.connect()
            answer = await connection.ask("POST", "/book/shift", ident, 3000, key="key-of-t1",
                                          body=b"shift")
            outcome = answer.status
        except (lib.Broken, OSError, asyncio.TimeoutError) as error:
            outcome = f"none ({error})"
        finally:
            connection.close()
        counts[outcome] = counts.get(outcome, 0) + 1
        if outcome != 200 and sent > restarted[0] and "i-app-2" in rig.runs.get(ident, []):
            lost.append(ident)
        rig.record.line("request", ident, "at", edge.name, "answered", outcome)

    async def traffic(seconds):
        end = time.monotonic() + seconds
        number = 0
        tasks = []
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(book(number)))
            number += 1
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)

    load = asyncio.create_task(traffic(9.0))
    await asyncio.sleep(1.0)
    # cold_return of lowell: its engine is down for 2 s and comes back cold, under another id.
    engine.crash()
    await asyncio.sleep(2.0)
    cold = lib.Engine(rig, "i-app-2", "roster-app", "lowell", work, slots=16, queue=64,
                      cold_s=COLD_S)
    rig.engines.append(cold)
    await cold.start(f"{rig.net}.220")
    await asyncio.sleep(KILL_AFTER_S)
    if rig.is_troubled:
        killed = rig.edges[:KILLS]
        for edge in killed:
            edge.signal(signal.SIGKILL)
        await asyncio.gather(*(edge.restart_after(RESTART_S) for edge in killed))
        restarted[0] = time.monotonic()
    await load
    times = sorted(at for at, _ in cold.arrivals if at - cold.started < COLD_S)
    worst, when = 0, 0.0
    for first, at in enumerate(times):
        count = sum(1 for other in times[first:] if other < at + 1.0)
        if count > worst:
            worst, when = count, at - cold.started
    rig.record.line(f"the cold engine got at most {worst} requests in one second, from",
                    f"{when:.2f} s after its start; allowed are {BOUND:.2f}; answers: {counts};",
                    f"run there without an answer: {lost}; the engine still runs: {cold.is_alive}")
    if worst > BOUND:
        return (f"FAILBACK, a cold engine got {worst} requests within one second, "
                f"allowed are {BOUND:.2f}; it ended: {not cold.is_alive}, run there without an "
                f"answer: {len(lost)}")
    return ""


lib.run(HERE, case)
