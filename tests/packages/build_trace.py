"""Runs a command under strace and parses which files its processes opened."""

import collections
import os
import re
import subprocess
import tempfile

SYSCALLS = "open,openat,openat2,creat,execve,execveat,connect"

# With -y, strace prints the path of the opened file after each descriptor.
CALL = re.compile(r"(?P<name>\w+)\((?P<arguments>.*)\)\s+= "
                  r"(?P<result>-?\d+)(?:<(?P<opened>[^>]*)>)?")
OPEN = re.compile(r'(?:(?:AT_FDCWD|\d+)<(?P<folder>[^>]*)>, )?'
                  r'"(?P<path>(?:[^"\\]|\\.)*)"(?P<flags>.*)')
WRITES = re.compile(r"O_WRONLY|O_RDWR|O_CREAT|O_TRUNC")

Trace = collections.namedtuple("Trace", "read written internet")


class TraceError(Exception):
    """The command failed, or could not be traced."""


def read_lines(lines):
    """The paths that one process read, executed or wrote, and the internet
    addresses that it connected to. Failed calls on files are ignored."""
    read, written, internet = set(), set(), set()
    for line in lines:
        call = CALL.match(line)
        if not call:
            continue
        name, arguments = call["name"], call["arguments"]
        if name == "connect":
            # Failed and pending connection attempts count as well.
            if "sa_family=AF_INET" in arguments:
                internet.add(arguments)
            continue
        opened = OPEN.match(arguments)
        if int(call["result"]) < 0 or not opened:
            continue
        path = os.path.normpath(
            os.path.join(opened["folder"] or "/", opened["path"]))
        paths = {path, call["opened"] or path}
        if name == "creat" or WRITES.search(opened["flags"]):
            written |= paths
        else:
            read |= paths
    return Trace(read, written, internet)


def interpreter(path):
    """The interpreter that the kernel starts for a script, or None."""
    try:
        with open(path, "rb") as file:
            first = file.readline(256)
    except OSError:
        return None
    if not first.startswith(b"#!"):
        return None
    return first[2:].split()[0].decode()


def run_traced(command, folder, environment, log):
    """Runs the shell command `command` in `folder` and returns what it opens.
    Its output goes to the file `log`."""
    with tempfile.TemporaryDirectory() as traces:
        done = subprocess.run(
            ["strace", "-ff", "-qq", "-y", "--seccomp-bpf",
             "--signal=none", f"--trace={SYSCALLS}",
             f"--output={traces}/process", "sh", "-c", command],
            cwd=folder, env=environment, stdout=log, stderr=log, check=False)
        if done.returncode != 0:
            raise TraceError(f"exit status {done.returncode}: {command}")
        total = Trace(set(), set(), set())
        for name in os.listdir(traces):
            with open(os.path.join(traces, name), errors="replace") as lines:
                for total_paths, process_paths in zip(total, read_lines(lines)):
                    total_paths |= process_paths
    if not total.read:
        raise TraceError("the trace is empty")
    total.read.update(filter(None, map(interpreter, list(total.read))))
    return total
