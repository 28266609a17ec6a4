#!/usr/bin/env python3
"""Fault soak: runs gateway processes with stand-ins and injects faults.

Injects faults drawn from a seed, which may overlap, while callers send
requests, and checks the guarantees from what callers and endpoints observe.
Prints a line of JSON. Exits with 1 and keeps the logs if a guarantee was
violated.
"""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time

import faults
import ledger as ledgers
from caller import Caller
from endpoint import LARGE_ORDERS
from fleet import ROOT, ZONES, Fleet

FAULTS_PER_S = 0.9
RECOVERY_TIMEOUT_S = 12.0
REQUIRED_SUCCESSES = 5
# A long stream may take two thirds of the time until recovery.
REQUIRED_LONG_STREAMS = 1
CALLERS_PER_LONG_STREAM_CALLER = 6
CALLERS_PER_SLOW_CALLER = 6
LAG_INTERVAL_S = 0.02


async def measure_lag(ledger):
    """Measures how late this process itself runs, so that its own delay does
    not count as a late response."""
    while True:
        began = time.monotonic()
        await asyncio.sleep(LAG_INTERVAL_S)
        now = time.monotonic()
        ledger.loop_lags.append((now, now - began - LAG_INTERVAL_S))


async def play_faults(fleet, rng, more, seconds):
    """Injects faults, with rate limits drawn from `more` beside them; returns
    their names after all have been undone."""
    ends_at = time.monotonic() + seconds
    played, running = [], [asyncio.create_task(
        faults.limit_endpoints_repeatedly(fleet, more, seconds))]
    while time.monotonic() < ends_at:
        fault = rng.choice(faults.FAULTS)
        played.append(fault.__name__)
        running.append(asyncio.create_task(
            fault(fleet, random.Random(rng.random()))))
        await asyncio.sleep(rng.expovariate(FAULTS_PER_S))
    await asyncio.gather(*running)
    return played


async def check_recovery(callers, ledger):
    """Every caller has to get several successful responses in a row."""
    for caller in callers:
        caller.consecutive_successes = 0
    not_recovered = set(callers)
    ends_at = time.monotonic() + RECOVERY_TIMEOUT_S
    while not_recovered and time.monotonic() < ends_at:
        await asyncio.sleep(0.1)
        not_recovered = {
            caller for caller in not_recovered
            if caller.consecutive_successes < (
                REQUIRED_LONG_STREAMS if caller.sends_long_streams
                else REQUIRED_SUCCESSES)}
    if not_recovered:
        names = sorted(caller.name for caller in not_recovered)
        ledger.report_violation("recovery",
                                f"too few successes in a row: {names}")


async def run(options, folder):
    rng = random.Random(options.seed)
    more = random.Random(f"limits and slow callers, {options.seed}")
    ledger = ledgers.Ledger()
    fleet = Fleet(options.binary, folder, ledger, options.gateways,
                  options.endpoints)
    lag_task = asyncio.create_task(measure_lag(ledger))
    await fleet.start()
    await asyncio.sleep(1)
    callers = [Caller(f"c{index}", ZONES[index % len(ZONES)],
                      random.Random(rng.random()), fleet, ledger)
               for index in range(options.callers)]
    callers += [Caller(f"l{index}", ZONES[index % len(ZONES)],
                       random.Random(rng.random()), fleet, ledger, True)
                for index in range(
                    options.callers // CALLERS_PER_LONG_STREAM_CALLER)]
    callers += [Caller(f"{LARGE_ORDERS}{index}", ZONES[index % len(ZONES)],
                       random.Random(more.random()), fleet, ledger,
                       is_slow=True)
                for index in range(options.callers // CALLERS_PER_SLOW_CALLER)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(1)
    played = await play_faults(fleet, rng, more, options.seconds)
    await check_recovery(callers, ledger)
    for gateway in fleet.gateways:
        gateway.check_memory()
    await fleet.stop()
    for caller, task in zip(callers, tasks):
        caller.stop(task)
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for error in results:
        if error and not isinstance(error, asyncio.CancelledError):
            raise error
    lag_task.cancel()
    ledger.check_at_end()
    return ledger, played


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int,
                        default=random.SystemRandom().randrange(10**9))
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--endpoints", type=int, default=10)
    parser.add_argument("--callers", type=int, default=30)
    parser.add_argument("--keep", action="store_true",
                        help="keep the logs of a successful run too")
    parser.add_argument("--binary", default=str(
        ROOT / "build" / "src" / "teaselthread" / "teaselthread"))
    return parser.parse_args()


def main():
    options = parse_options()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="teaselthread-soak-"))
    ledger, played = asyncio.run(run(options, folder))
    report = {"seed": options.seed, **ledger.summary(), "faults": len(played)}
    print(json.dumps(report))
    if not ledger.violations and not options.keep:
        shutil.rmtree(folder)
        return 0
    (folder / "violations.json").write_text(json.dumps(
        {"played": played, "violations": ledger.violations}, indent=1))
    for violation in ledger.violations[:10]:
        print(json.dumps(violation))
    print(f"logs: {folder}")
    return 1 if ledger.violations else 0


if __name__ == "__main__":
    sys.exit(main())
