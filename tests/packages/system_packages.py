"""The Debian packages of this machine: their files and dependencies."""

import collections
import os
import re
import subprocess

# Debian 12 merges these into /usr; a package may list its file under either
# path.
MERGED_FOLDERS = ("/bin/", "/sbin/", "/lib/", "/lib32/", "/lib64/")
QUERY_PATHS = 1000

Package = collections.namedtuple("Package", "essential depends")


def query(*arguments):
    done = subprocess.run(["dpkg-query", *arguments], capture_output=True,
                          text=True, check=False, env={"PATH": os.defpath,
                                                       "LC_ALL": "C"})
    return done.stdout


def first_alternatives(relation):
    """The package names in a field such as Depends. Of several alternatives it
    takes the first, which apt installs if none of them is installed yet."""
    groups = (group.split("|")[0] for group in relation.split(","))
    names = (re.match(r"\s*([a-z0-9][a-z0-9+.-]*)", group) for group in groups)
    return {name[1] for name in names if name}


def installed():
    """The installed packages, by name."""
    packages = {}
    format_string = ("${Package}\t${db:Status-Status}\t${Essential}\t"
                     "${Pre-Depends},${Depends}\n")
    for line in query("-W", "-f", format_string).splitlines():
        name, status, essential, depends = line.split("\t")
        if status == "installed":
            packages[name] = Package(essential == "yes",
                                     first_alternatives(depends))
    return packages


def on_clean_machine(listed, packages):
    """The names of the packages on a machine on which apt installed only the
    packages `listed`, without recommended ones."""
    names = set()
    pending = [name for name, package in packages.items() if package.essential]
    pending += [name for name in listed if name in packages]
    while pending:
        name = pending.pop()
        if name in names:
            continue
        names.add(name)
        pending += packages[name].depends & packages.keys()
    return names


def merged_names(path):
    """The paths under which a package may list the file `path`."""
    for folder in MERGED_FOLDERS:
        if path.startswith("/usr" + folder):
            return [path, path[len("/usr"):]]
        if path.startswith(folder):
            return [path, "/usr" + path]
    return [path]


def in_real_folder(path):
    """`path` with its folder resolved; a link as the last part stays."""
    folder, name = os.path.split(path)
    return os.path.join(os.path.realpath(folder), name)


def link_chain(path):
    """`path` and, if it is a symbolic link, each file up to its target."""
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
    """The packages that own each of `paths`; an empty set if none does."""
    names_by_path = {path: merged_names(path) for path in paths}
    all_names = sorted({name for names in names_by_path.values()
                        for name in names})
    listed = collections.defaultdict(set)
    for start in range(0, len(all_names), QUERY_PATHS):
        output = query("--search", *all_names[start:start + QUERY_PATHS])
        for path, names in parse_owners(output).items():
            listed[path] |= names
    return {path: set().union(*(listed.get(name, set()) for name in names))
            for path, names in names_by_path.items()}
