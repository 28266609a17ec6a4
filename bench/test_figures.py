"""Runs the tests whose figures the documentation quotes. Prints one line per
figure: name value unit."""

import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
BUILD = ROOT / os.environ.get("BUILD_DIR", "build")


def output_of(*command):
    done = subprocess.run([str(word) for word in command], capture_output=True, text=True,
                          timeout=300, check=False)
    return done.stdout + done.stderr


def process_test(name):
    return output_of(sys.executable, ROOT / f"tests/process/{name}.py")


def show(name, value, unit):
    print(f"{name} {value} {unit}", flush=True)


def load_bound():
    text = output_of(BUILD / "tests/load_bound_test", "--log_level=message", "--color_output=no")
    pattern = r"admitted (\d+), over the bound (\d+), worst ([\d.]+) of the bound, " \
              r"over the cold limit (\d+)"
    for design, found in zip(("owner", "naive"), re.findall(pattern, text)):
        show(f"load_bound_{design}_admitted", found[0], "calls")
        show(f"load_bound_{design}_over_bound", found[1], "calls")
        show(f"load_bound_{design}_over_cold_limit", found[3], "calls")


def at_most_once():
    text = output_of(BUILD / "tests/requests_test", "--log_level=message", "--color_output=no")
    found = re.search(r"a key ran twice in (\d+) of \d+", text)
    show("naive_worlds_with_a_second_run", found[1], "worlds")


def orders():
    text = process_test("orders_test")
    pattern = r"(.+)\n  (\d+) keys: (\d+) answered, (\d+) told unknown.* (\d+) run twice"
    for what, keys, answered, unknown, twice in re.findall(pattern, text):
        name = "orders_" + what.replace(" ", "_")
        show(name + "_keys", keys, "keys")
        show(name + "_answered", answered, "keys")
        show(name + "_unknown", unknown, "keys")
        show(name + "_run_twice", twice, "keys")


def chats():
    text = process_test("chats_test")
    pattern = r"(.+)\n  (\d+) turns whole.*longest ([\d.]+) s; (\d+) of (\d+) met"
    for what, turns, longest, met, returning in re.findall(pattern, text):
        name = "chats_" + what.replace(" ", "_")
        show(name + "_whole", turns, "turns")
        show(name + "_longest", longest, "s")
        show(name + "_met_context", met, f"of_{returning}_turns")


def configuration():
    text = process_test("configuration_test")
    for what, seconds in re.findall(r"(.+): version \d+ in force on \d+ nodes after ([\d.]+)", text):
        show("in_force_" + what.replace(" ", "_"), seconds, "s")
    found = re.search(r"last new work in \w+ ([\d.]+) s", text)
    show("last_new_work_in_a_zone_out", found[1], "s")


def leaving():
    found = re.search(r"last new work at a leaving endpoint ([\d.]+) s", process_test("leaving_test"))
    show("last_new_work_at_a_leaving_endpoint", found[1], "s")


def main():
    for measure in (load_bound, at_most_once, orders, chats, configuration, leaving):
        measure()


if __name__ == "__main__":
    main()
