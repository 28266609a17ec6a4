"""Rollouts with gateway processes: a good version is completed before its
deadline, a bad one is reverted within its bounds, and gateways without the
settings for rollouts ask the store for none."""

import asyncio
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "soak"))

import http_wire  # noqa: E402, after the path is set
import ledger as ledgers  # noqa: E402
import platform_wire as wire  # noqa: E402
from fleet import EndpointSlot, Fleet  # noqa: E402

BINARY = ROOT / os.environ.get("BUILD_DIR", "build") / \
    "src" / "teaselthread" / "teaselthread"
EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50
BOUNDS = {"expose_share": EXPOSE_SHARE, "expose_slack": EXPOSE_SLACK,
          "rollback_ms": 5000}
GATEWAYS, ENDPOINTS, TARGETS = 3, 4, 2
SERVICE, TARGET = "desk", "2"
DURATION_S = 12
WARM_UP_S = 4
REQUESTS_PER_S = 80
MAX_REQUESTS = 3000
DEADLINE_MS = 1500
# Until a state in the store is known to all gateways.
SPREAD_S = 1.0
READY_TIMEOUT_S = 15


class Traffic:
    """Sends requests at a constant rate to all gateways in turn."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.statuses = []
        self._tasks = []

    async def run(self):
        for number in range(MAX_REQUESTS):
            gateway = self._fleet.gateways[number % GATEWAYS]
            self._tasks.append(asyncio.create_task(
                self._send(gateway, f"t-{number}")))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _send(self, gateway, order):
        try:
            self.statuses.append(await asyncio.wait_for(send(
                self._fleet, gateway, order), 3))
        except (asyncio.TimeoutError, OSError, http_wire.HttpError) as error:
            self.statuses.append(str(error))


async def send(fleet, gateway, order):
    now = time.monotonic()
    fleet.ledger.sent[order] = ledgers.SentRequest(
        order, order, "safe", fleet.keys[1], gateway.name, now,
        now + DEADLINE_MS / 1000)
    return await http_wire.request_status(
        gateway.front_address, f"GET /look/?order={order}",
        {"Host": fleet.host, wire.REQUEST_ID: order, wire.KEY: fleet.keys[1],
         wire.DEADLINE_MS: str(DEADLINE_MS)})


async def wait_until_ready(fleet):
    ends_at = time.monotonic() + READY_TIMEOUT_S
    for gateway in fleet.gateways:
        while True:
            try:
                if await send(fleet, gateway, f"ready-{time.monotonic_ns()}") == 200:
                    break
            except (OSError, http_wire.HttpError):
                pass
            assert time.monotonic() < ends_at, f"{gateway.name} is not ready"
            await asyncio.sleep(0.1)


def state(fleet):
    document = fleet.store.get(wire.ROLLOUTS, SERVICE)
    status = wire.rollout_state(document) if document else None
    return status[0] if status else None


def runs_since(fleet, at):
    return [run for run_list in fleet.ledger.runs.values() for run in run_list
            if run.at >= at]


async def wait_for_state(fleet, states, timeout_s):
    ends_at = time.monotonic() + timeout_s
    while state(fleet) not in states and time.monotonic() < ends_at:
        await asyncio.sleep(0.02)
    return state(fleet), time.monotonic()


async def roll_out(fleet, mode):
    """Starts the target's endpoints and orders the version. Returns its final
    state, its exposure, and the runs at each side some time after that."""
    targets = [EndpointSlot(fleet, ENDPOINTS + index, SERVICE, TARGET)
               for index in range(TARGETS)]
    for slot in targets:
        await slot.link.start()
        await slot.start()
        slot.endpoint.mode = mode
    ordered_at = time.monotonic()
    fleet.store.put(wire.ROLLOUTS, SERVICE,
                    wire.rollout(SERVICE, TARGET, DURATION_S))
    final, decided_at = await wait_for_state(
        fleet, ("completed", "reverted"), DURATION_S + 3)
    await asyncio.sleep(SPREAD_S + 2)
    target_names = {slot.endpoint.name for slot in targets}
    old_names = {slot.endpoint.name for slot in fleet.slots
                 if slot.service == SERVICE}

    def count(names, since, until=float("inf")):
        return sum(run.endpoint in names and run.at < until
                   for run in runs_since(fleet, since))

    deadline = ordered_at + DURATION_S
    return {"target_names": target_names, "state": final, "after_s": round(decided_at - ordered_at, 2),
            "target": count(target_names, ordered_at, deadline),
            "old": count(old_names, ordered_at, deadline),
            "late_target": count(target_names, decided_at + SPREAD_S),
            "late_old": count(old_names, decided_at + SPREAD_S)}


async def run_fleet(folder, bounds, test):
    ledger = ledgers.Ledger()
    fleet = Fleet(str(BINARY), folder, ledger, GATEWAYS, ENDPOINTS, bounds)
    await fleet.start()
    await wait_until_ready(fleet)
    traffic = Traffic(fleet)
    task = asyncio.create_task(traffic.run())
    await asyncio.sleep(WARM_UP_S)
    try:
        return await test(fleet, traffic)
    finally:
        task.cancel()
        await fleet.stop()
        assert not ledger.violations, ledger.violations[:5]


async def good_version(fleet, traffic):
    result = await roll_out(fleet, "pass")
    print(f"good version: {result}")
    assert result["state"] == "completed", result
    assert result["after_s"] < DURATION_S, result
    assert result["late_old"] == 0, result
    failed = [status for status in traffic.statuses if status != 200]
    assert not failed, failed


async def bad_version(fleet, traffic):
    result = await roll_out(fleet, "errors")
    print(f"bad version: {result}")
    assert result["state"] == "reverted", result
    assert result["late_target"] == 0, result
    gateway = fleet.gateways[-1]
    await gateway.stop(signal.SIGKILL)
    started_at = time.monotonic()
    await gateway.start()
    await wait_until_ready(fleet)
    await asyncio.sleep(2)
    targets = {run.endpoint for run in runs_since(fleet, started_at)
               if run.endpoint in result["target_names"]}
    assert not targets, f"sent by a gateway that has started anew: {targets}"
    exposed = EXPOSE_SHARE * (result["target"] + result["old"]) + EXPOSE_SLACK
    assert result["target"] <= exposed, result


async def without_settings(fleet, traffic):
    fleet.store.put(wire.ROLLOUTS, SERVICE,
                    wire.rollout(SERVICE, TARGET, DURATION_S))
    await asyncio.sleep(1)
    calls = fleet.store.calls
    print(f"without settings: {dict(calls)}")
    assert calls[wire.ENDPOINTS] > 0 and calls[wire.ROLLOUTS] == 0, calls


CASES = {"without-settings": (None, without_settings),
         "good-version": (BOUNDS, good_version),
         "bad-version": (BOUNDS, bad_version)}


def run_case(name):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="teaselthread-rollouts-"))
    try:
        asyncio.run(run_fleet(folder, *CASES[name]))
    except BaseException:
        print(f"logs: {folder}")
        raise
    shutil.rmtree(folder)
    return 0


def main():
    if len(sys.argv) > 1:
        return run_case(sys.argv[1])
    # A process for each case, as addresses are derived from the process id.
    return max(subprocess.run([sys.executable, __file__, name]).returncode
               for name in CASES)


if __name__ == "__main__":
    sys.exit(main())
