"""The Debian packages of this machine: who owns a file, who needs whom."""

import collections
import os
import re
import subprocess

# Merged in Debian 12: a package may list its file below either of them.
MERGED_FOLDERS = ("/bin/", "/sbin/", "/lib/", "/lib32/", "/lib64/")
QUERY_PATHS = 1000

Package = collections.namedtuple("Package", "essential depends")


def query(*arguments):
    done = subprocess.run(["dpkg-query", *arguments], capture_output=True,
                          text=True, check=False, env={"PATH": os.defpath,
                                                       "LC_ALL": "C"})
    return done.stdout


def first_alternatives(relation):
    """The names that a field such as Depends asks for. Of alternatives it is
    the first, which apt installs where none is there yet."""
    groups = (group.split("|")[0] for group in relation.split(","))
    names = (re.match(r"\s*([a-z0-9][a-z0-9+.-]*)", group) for group in groups)
    return {name[1] for name in names if name}


def installed():
    """The installed packages, by name."""
    packages = {}
    wanted = ("${Package}\t${db:Status-Status}\t${Essential}\t"
              "${Pre-Depends},${Depends}\n")
    for line in query("-W", "-f", wanted).splitlines():
        name, status, essential, depends = line.split("\t")
        if status == "installed":
            packages[name] = Package(essential == "yes",
                                     first_alternatives(depends))
    return packages


def on_clean_machine(listed, packages):
    """The names of what a machine holds on which apt installed only the
    packages `listed`, without those that they merely recommend."""
    names = set()
    waiting = [name for name, package in packages.items() if package.essential]
    waiting += [name for name in listed if name in packages]
    while waiting:
        name = waiting.pop()
        if name in names:
            continue
        names.add(name)
        waiting += packages[name].depends & packages.keys()
    return names


def merged_names(path):
    """The names under which a package may list `path`."""
    for folder in MERGED_FOLDERS:
        if path.startswith("/usr" + folder):
            return [path, path[len("/usr"):]]
        if path.startswith(folder):
            return [path, "/usr" + path]
    return [path]


def in_real_folder(path):
    """`path` by the folder that it really is in; a link stays a link."""
    folder, name = os.path.split(path)
    return os.path.join(os.path.realpath(folder), name)


def link_chain(path):
    """`path` and, where it is a link, each file on the way to its end."""
    chain = [in_real_folder(path)]
    while os.path.islink(chain[-1]):
        target = in_real_folder(os.path.join(os.path.dirname(chain[-1]),
                                             os.readlink(chain[-1])))
        if target in chain:
            break
        chain.append(target)
    return chain


def parse_owners(output):
    """The packages of each path in the output of `dpkg-query --search`."""
    owners = collections.defaultdict(set)
    for line in output.splitlines():
        if line.startswith("diversion by "):
            continue
        names, _, path = line.partition(": ")
        owners[path] |= {name.split(":")[0] for name in names.split(", ")}
    return owners


def owners(paths):
    """The packages that each of `paths` comes from; an empty set where none
    does."""
    asked = {path: merged_names(path) for path in paths}
    every = sorted({name for names in asked.values() for name in names})
    listed = collections.defaultdict(set)
    for start in range(0, len(every), QUERY_PATHS):
        output = query("--search", *every[start:start + QUERY_PATHS])
        for path, names in parse_owners(output).items():
            listed[path] |= names
    return {path: set().union(*(listed.get(name, set()) for name in names))
            for path, names in asked.items()}
