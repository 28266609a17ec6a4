#!/usr/bin/env python3
"""Unit tests for the check of the build's packages: its parsing of traces and
packages, and its complaints."""

import os
import tempfile
import unittest

import build_packages_test as check
import build_trace
import system_packages
from system_packages import Package


class TraceOfOneProcessTest(unittest.TestCase):
    """Parsing of the strace output of one process."""

    def read(self, *lines):
        return build_trace.read_lines(lines)

    def test_a_file_that_is_read_counts_by_its_given_and_resolved_path(self):
        trace = self.read('openat(AT_FDCWD</b>, "/lib/liba.so", O_RDONLY) '
                          '= 3</usr/lib/liba.so.1>')
        self.assertEqual(trace.read, {"/lib/liba.so", "/usr/lib/liba.so.1"})

    def test_a_relative_path_starts_at_the_folder_of_its_descriptor(self):
        trace = self.read(
            'openat(AT_FDCWD</b/c>, "../a.h", O_RDONLY) = 3</b/a.h>',
            'openat(7</usr/include>, "d.h", O_RDONLY) = 3</usr/include/d.h>')
        self.assertEqual(trace.read, {"/b/a.h", "/usr/include/d.h"})

    def test_an_executed_program_counts_as_read(self):
        trace = self.read('execve("/usr/bin/make", ["make", "(x) = 3"], '
                          '0x7f /* 9 vars */) = 0')
        self.assertEqual(trace.read, {"/usr/bin/make"})

    def test_a_failed_call_on_a_file_is_ignored(self):
        trace = self.read(
            'openat(AT_FDCWD</b>, "/a.h", O_RDONLY) = -1 ENOENT (No such file '
            'or directory)', 'execve("/bin/ccache", ["x"], 0x1 /* 2 vars */) '
            '= -1 ENOENT (No such file or directory)')
        self.assertEqual(trace, (set(), set(), set()))

    def test_a_written_file_does_not_count_as_read(self):
        trace = self.read('openat(AT_FDCWD</b>, "/etc/x", '
                          'O_WRONLY|O_CREAT|O_CLOEXEC, 0666) = 3</etc/x>')
        self.assertEqual(trace.written, {"/etc/x"})
        self.assertFalse(trace.read)

    def test_an_internet_address_counts_even_if_the_connection_fails(self):
        trace = self.read(
            'connect(3<socket:[9]>, {sa_family=AF_UNIX, sun_path="/x"}, 110) '
            '= -1 ENOENT (No such file or directory)',
            'connect(3<socket:[9]>, {sa_family=AF_INET, sin_port=htons(80)}, '
            '16) = -1 EINPROGRESS (Operation now in progress)')
        self.assertEqual(len(trace.internet), 1)

    def test_the_interpreter_of_a_script_is_found(self):
        with tempfile.NamedTemporaryFile("w") as script:
            script.write("#! /usr/bin/perl -w\n")
            script.flush()
            self.assertEqual(build_trace.interpreter(script.name),
                             "/usr/bin/perl")


class CleanMachineTest(unittest.TestCase):
    """Packages of a clean machine with only the listed ones installed."""

    packages = {
        "base": Package(True, {"base-library"}),
        "base-library": Package(False, set()),
        "compiler": Package(False, {"linker"}),
        "linker": Package(False, {"compiler", "absent"}),
        "extra": Package(False, {"linker"}),
    }

    def test_it_has_listed_and_essential_packages_and_their_dependencies(self):
        self.assertEqual(
            system_packages.on_clean_machine(["compiler"], self.packages),
            {"base", "base-library", "compiler", "linker"})

    def test_the_first_of_several_alternatives_is_installed(self):
        self.assertEqual(
            system_packages.first_alternatives(
                "libc6-dev (>= 2.36) | libc-dev, perl:any,, gcc-12"),
            {"libc6-dev", "perl", "gcc-12"})


class OwnersTest(unittest.TestCase):
    """Lookup of the package that owns a file."""

    def test_a_file_may_be_listed_below_either_merged_folder(self):
        self.assertEqual(system_packages.merged_names("/usr/lib/x.so"),
                         ["/usr/lib/x.so", "/lib/x.so"])
        self.assertEqual(system_packages.merged_names("/bin/x"),
                         ["/bin/x", "/usr/bin/x"])

    def test_a_diversion_owns_nothing(self):
        owners = system_packages.parse_owners(
            "diversion by dash from: /bin/sh\ndash: /bin/sh\n"
            "libc6:amd64, libc6:i386: /usr/share/doc/libc6\n")
        self.assertEqual(owners, {"/bin/sh": {"dash"},
                                  "/usr/share/doc/libc6": {"libc6"}})

    def test_each_symbolic_link_that_leads_to_a_file_is_looked_up(self):
        with tempfile.TemporaryDirectory() as folder:
            folder = os.path.realpath(folder)
            paths = [f"{folder}/{name}" for name in ("cc", "gcc", "gcc-12")]
            os.symlink("gcc", paths[0])
            os.symlink(paths[2], paths[1])
            open(paths[2], "w").close()
            self.assertEqual(system_packages.link_chain(paths[0]), paths)


class VerdictTest(unittest.TestCase):
    """Complaints about the files that were used."""

    def complaints(self, **owners):
        return check.complaints_of_files(
            {f"/usr/{name}": names for name, names in owners.items()},
            {"g++", "libc6"})

    def test_files_of_listed_packages_cause_no_complaint(self):
        self.assertEqual(self.complaints(a={"g++"}, b={"libc6", "other"}), [])

    def test_an_unlisted_package_is_reported_once(self):
        lines = self.complaints(a={"make"}, b={"make"}, c={"g++"})
        self.assertEqual(len(lines), 1)
        self.assertIn("not listed: make (2 files: /usr/a /usr/b", lines[0])

    def test_a_file_of_no_package_is_reported(self):
        self.assertEqual(self.complaints(a=set()), ["of no package: /usr/a"])


if __name__ == "__main__":
    unittest.main()
