"""What the platform refuses to a front end, refused to this process by itself: a filter of system calls.

Any process may lay one on itself once it has given up gaining rights. `python -m tests.refusals MODULE WORDS...` lays
it and runs the module; numbers are those of x86-64, from the kernel's headers.
"""
import ctypes
import errno
import platform
import runpy
import struct
import sys

ALLOW, REFUSE = 0x7FFF0000, 0x00050000
LOAD, EQUAL, ANY_BIT, RETURN = 0x20, 0x15, 0x45, 0x06      # of classic BPF: ld abs, jeq, jset, ret
NUMBER, FIRST = 0, 16                                      # where a call's number and its first argument stand
SOCKET, CLONE, THREAD, UNIX = 41, 56, 0x10000, 1
# fork, vfork, execve, execveat; splice, tee, vmsplice, sendfile; io_uring; clone3, which the C library does without
WHOLE = (dict.fromkeys((57, 58, 59, 322), errno.ENOSYS) | dict.fromkeys((275, 276, 278), errno.EINVAL)
         | dict.fromkeys((40, 425, 426, 427, 435), errno.ENOSYS))
NO_NEW_PRIVILEGES, SECCOMP, FILTER = 38, 22, 2


def program():
    """(code, where if so, where if not, value) a line."""
    lines = [(LOAD, 0, 0, NUMBER)]
    for number, error in WHOLE.items():
        lines += [(EQUAL, 0, 1, number), (RETURN, 0, 0, REFUSE | error)]
    lines += [(EQUAL, 0, 4, CLONE), (LOAD, 0, 0, FIRST), (ANY_BIT, 1, 0, THREAD),
              (RETURN, 0, 0, REFUSE | errno.ENOSYS), (RETURN, 0, 0, ALLOW)]
    lines += [(EQUAL, 0, 3, SOCKET), (LOAD, 0, 0, FIRST), (EQUAL, 0, 1, UNIX), (RETURN, 0, 0, REFUSE | errno.EPERM)]
    return lines + [(RETURN, 0, 0, ALLOW)]


def lay():
    """From here on this process, and no other, is refused all that."""
    assert platform.machine() == "x86_64"
    lines = program()
    code = ctypes.create_string_buffer(b"".join(struct.pack("=HBBI", *line) for line in lines))
    head = ctypes.create_string_buffer(struct.pack("@HP", len(lines), ctypes.addressof(code)))
    libc = ctypes.CDLL(None, use_errno=True)
    for words in ((NO_NEW_PRIVILEGES, 1, 0, 0, 0), (SECCOMP, FILTER, ctypes.addressof(head), 0, 0)):
        if libc.prctl(*(ctypes.c_ulong(word) for word in words)):
            raise OSError(ctypes.get_errno(), "prctl")


if __name__ == "__main__":
    lay()
    sys.argv = sys.argv[1:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
