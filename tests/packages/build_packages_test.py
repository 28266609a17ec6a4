#!/usr/bin/env python3
"""Checks that the build uses only the packages that deploy/system.toml lists.

Runs the `build` command of deploy/system.toml under strace in a copy of the
checkout without its tests, and looks up the package of each file that a process
read or executed. Fails when a package is neither listed, nor a dependency of a
listed one, nor essential to Debian. It also fails when the build uses a file
that belongs to no package, writes outside its own folder, or connects to an
internet address.

--list prints each file with its package and checks nothing.
"""

import argparse
import collections
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib

import build_trace
import system_packages

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TEST_FOLDER = "tests"
# Kernel interfaces, and the dynamic loader's cache, which ldconfig generates.
NOT_PACKAGED = ("/proc/", "/sys/", "/dev/", "/etc/ld.so.cache")
SHOWN_PATHS = 3
SHOWN_LOG_LINES = 30


def copy_checkout(source, target):
    """Copies the tracked files with their uncommitted changes, except tests."""
    names = subprocess.run(["git", "ls-files", "-z"], cwd=source, check=True,
                           capture_output=True, text=True).stdout
    for name in filter(None, names.split("\0")):
        path = os.path.join(source, name)
        if TEST_FOLDER in name.split("/") or not os.path.exists(path):
            continue
        copy = os.path.join(target, name)
        os.makedirs(os.path.dirname(copy), exist_ok=True)
        shutil.copy2(path, copy, follow_symlinks=False)


def is_below(path, folders):
    return any(path.startswith(folder.rstrip("/") + "/") or path == folder
               for folder in folders)


def system_files(paths, own_folders):
    """The files among `paths` that are outside the build's own folders, with
    the symbolic links that lead to them."""
    files = set()
    for path in paths:
        if is_below(path, own_folders + NOT_PACKAGED) or os.path.isdir(path):
            continue
        files.update(system_packages.link_chain(path))
    return files


def trace_build(source, command):
    """Runs the build. Returns the system files that it reads, and a complaint
    for each write outside its folder and each internet connection."""
    with tempfile.TemporaryDirectory(prefix="build-") as folder:
        folder = os.path.realpath(folder)
        checkout = os.path.join(folder, "checkout")
        home = os.path.join(folder, "home")
        os.makedirs(home)
        copy_checkout(source, checkout)
        # With TZ set, no process reads the time zone files of this machine.
        environment = {"PATH": os.defpath, "HOME": home, "TMPDIR": folder,
                       "TZ": "UTC0"}
        with open(os.path.join(folder, "log"), "w+") as log:
            try:
                trace = build_trace.run_traced(command, checkout, environment,
                                               log)
            except build_trace.TraceError as error:
                log.seek(0)
                sys.exit("".join(log.readlines()[-SHOWN_LOG_LINES:]) +
                         f"the traced build failed: {error}")
        files = system_files(trace.read, (folder,))
        elsewhere = {path for path in trace.written
                     if not is_below(path, (folder,) + NOT_PACKAGED)}
    complaints = [f"the build writes {path}" for path in sorted(elsewhere)]
    complaints += [f"the build calls {address}"
                   for address in sorted(trace.internet)]
    return files, complaints


def complaints_of_files(owners, allowed):
    """One complaint per unlisted package and per file of no package."""
    unlisted, unowned = collections.defaultdict(list), []
    for path, names in sorted(owners.items()):
        if not names and not os.path.islink(path):
            unowned.append(path)
        if names and not names & allowed:
            unlisted[", ".join(sorted(names))].append(path)
    lines = [f"not listed: {package} ({len(paths)} files: "
             f"{' '.join(paths[:SHOWN_PATHS])}{' ...' * (len(paths) > SHOWN_PATHS)})"
             for package, paths in sorted(unlisted.items())]
    return lines + [f"of no package: {path}" for path in unowned]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--source", default=REPOSITORY,
                        help="the checkout to build (default: this one)")
    parser.add_argument("--list", action="store_true",
                        help="print each file with its package")
    options = parser.parse_args()
    with open(os.path.join(options.source, "deploy", "system.toml"),
              "rb") as file:
        deploy = tomllib.load(file)
    packages = system_packages.installed()
    absent = [name for name in deploy["packages"] if name not in packages]
    if absent:
        sys.exit("listed but not installed: " + " ".join(absent))

    files, complaints = trace_build(options.source, deploy["build"])
    owners = system_packages.owners(files)
    if options.list:
        for path, names in sorted(owners.items()):
            print(path, ",".join(sorted(names)) or "-", sep="\t")
        return
    allowed = system_packages.on_clean_machine(deploy["packages"], packages)
    complaints += complaints_of_files(owners, allowed)
    for complaint in complaints:
        print(complaint)
    used = set().union(*owners.values())
    print(f"{len(owners)} files of {len(used)} packages; "
          f"{len(complaints)} complaints")
    sys.exit(1 if complaints else 0)


if __name__ == "__main__":
    main()
