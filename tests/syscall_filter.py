"""Forbids the system calls that the platform forbids to a front end, by a seccomp filter on this process.

Any process may install one on itself once it has given up gaining privileges. `python -m tests.syscall_filter MODULE
WORDS...` installs it and runs the module. Numbers are those of x86-64, from the kernel's headers.
"""
import ctypes
import errno
import platform
import runpy
import struct
import sys

# Results of the filter.
ALLOW = 0x7FFF0000
FAIL_WITH_ERRNO = 0x00050000
# Instructions of classic BPF.
LOAD = 0x20                # ld abs
EQUAL = 0x15               # jeq
ANY_BIT = 0x45             # jset
RETURN = 0x06              # ret
# Offsets in the data of a call.
NUMBER_OFFSET = 0
ARGUMENT_OFFSET = 16       # of the first argument
SOCKET = 41
CLONE = 56
CLONE_THREAD = 0x10000
AF_UNIX = 1
# fork, vfork, execve, execveat; splice, tee, vmsplice, sendfile; io_uring; clone3, which the C library does without
FORBIDDEN_CALLS = (
    dict.fromkeys((57, 58, 59, 322), errno.ENOSYS) | dict.fromkeys((275, 276, 278), errno.EINVAL)
    | dict.fromkeys((40, 425, 426, 427, 435), errno.ENOSYS))
SET_NO_NEW_PRIVILEGES = 38
SET_SECCOMP = 22
MODE_FILTER = 2


def program():
    """Returns the filter's instructions: (code, jump if true, jump if false, value)."""
    lines = [(LOAD, 0, 0, NUMBER_OFFSET)]
    for number, error in FORBIDDEN_CALLS.items():
        lines += [(EQUAL, 0, 1, number), (RETURN, 0, 0, FAIL_WITH_ERRNO | error)]
    lines += [(EQUAL, 0, 4, CLONE), (LOAD, 0, 0, ARGUMENT_OFFSET), (ANY_BIT, 1, 0, CLONE_THREAD),
              (RETURN, 0, 0, FAIL_WITH_ERRNO | errno.ENOSYS), (RETURN, 0, 0, ALLOW)]
    lines += [(EQUAL, 0, 3, SOCKET), (LOAD, 0, 0, ARGUMENT_OFFSET), (EQUAL, 0, 1, AF_UNIX),
              (RETURN, 0, 0, FAIL_WITH_ERRNO | errno.EPERM)]
    return lines + [(RETURN, 0, 0, ALLOW)]


def install():
    """Installs the filter on this process; it cannot be removed."""
    assert platform.machine() == "x86_64"
    lines = program()
    code = ctypes.create_string_buffer(b"".join(struct.pack("=HBBI", *line) for line in lines))
    header = ctypes.create_string_buffer(struct.pack("@HP", len(lines), ctypes.addressof(code)))
    libc = ctypes.CDLL(None, use_errno=True)
    for arguments in ((SET_NO_NEW_PRIVILEGES, 1, 0, 0, 0),
                      (SET_SECCOMP, MODE_FILTER, ctypes.addressof(header), 0, 0)):
        if libc.prctl(*(ctypes.c_ulong(argument) for argument in arguments)):
            raise OSError(ctypes.get_errno(), "prctl")


if __name__ == "__main__":
    install()
    sys.argv = sys.argv[1:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
