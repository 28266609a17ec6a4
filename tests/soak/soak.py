#!/usr/bin/env python3
"""Fault soak: gateway processes before stand-ins, and faults from outside.

Plays faults drawn from a seed, in series and overlapping, while callers use
the fleet, and checks the promises from what callers and endpoints see. Prints
a line of JSON; exits with 1 if a promise was broken, and keeps the logs.
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
from fleet import ROOT, ZONES, Fleet

FAULTS_PER_S = 0.9
RECOVER_S = 12.0
ANSWERED_IN_A_ROW = 5
LAG_INTERVAL_S = 0.02


async def measure_lag(ledger):
    """How late this process itself runs, so that it is not held against
    the fleet."""
    while True:
        began = time.monotonic()
        await asyncio.sleep(LAG_INTERVAL_S)
        now = time.monotonic()
        ledger.loop_lags.append((now, now - began - LAG_INTERVAL_S))


async def play_faults(fleet, rng, seconds):
    """Returns the names of what was played, once all is undone."""
    ends_at = time.monotonic() + seconds
    played, under_way = [], []
    while time.monotonic() < ends_at:
        fault = rng.choice(faults.FAULTS)
        played.append(fault.__name__)
        under_way.append(asyncio.create_task(
            fault(fleet, random.Random(rng.random()))))
        await asyncio.sleep(rng.expovariate(FAULTS_PER_S))
    await asyncio.gather(*under_way)
    return played


async def check_recovery(callers, ledger):
    """Each caller has to be answered some times in a row."""
    for caller in callers:
        caller.answered_in_a_row = 0
    behind = set(callers)
    ends_at = time.monotonic() + RECOVER_S
    while behind and time.monotonic() < ends_at:
        await asyncio.sleep(0.1)
        behind = {caller for caller in behind
                  if caller.answered_in_a_row < ANSWERED_IN_A_ROW}
    if behind:
        names = sorted(caller.name for caller in behind)
        ledger.break_promise("recovery", f"not served in a row: {names}")


async def run(options, folder):
    rng = random.Random(options.seed)
    ledger = ledgers.Ledger()
    fleet = Fleet(options.binary, folder, ledger, options.gateways,
                  options.endpoints)
    lag = asyncio.create_task(measure_lag(ledger))
    await fleet.start()
    await asyncio.sleep(1)
    callers = [Caller(f"c{index}", ZONES[index % len(ZONES)],
                      random.Random(rng.random()), fleet, ledger)
               for index in range(options.callers)]
    calls = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(1)
    played = await play_faults(fleet, rng, options.seconds)
    await check_recovery(callers, ledger)
    for gateway in fleet.gateways:
        gateway.check_memory()
    await fleet.stop()
    for caller, call in zip(callers, calls):
        caller.stop(call)
    ended = await asyncio.gather(*calls, return_exceptions=True)
    for error in ended:
        if error and not isinstance(error, asyncio.CancelledError):
            raise error
    lag.cancel()
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
                        help="keep the logs in any case")
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
