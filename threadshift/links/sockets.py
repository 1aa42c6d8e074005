"""Sockets of all three kinds, IPv4, IPv6 and Unix: to listen at and to dial."""
from __future__ import annotations

import os
from contextlib import suppress

from gevent import socket

from threadshift.conf.values import Address
from threadshift.interface import SECOND

READ = 64 << 10            # bytes a read; a usual frame or request fits many times
BACKLOG = 1024             # connections that the kernel keeps for us to accept


def listener(address: Address, shared: bool) -> socket.socket:
    """A listening socket; `shared` lets several processes of ours listen at the same port."""
    family = socket.AF_UNIX if address.path else socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    if address.path:
        with suppress(FileNotFoundError):
            os.unlink(address.path)
        sock.bind(address.path)
    else:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((address.host, address.port))
    sock.listen(BACKLOG)
    return sock


def connect(address: Address, limit: int) -> socket.socket:
    """A connected socket. Waits for at most limit ns; raises OSError."""
    family = socket.AF_UNIX if address.path else socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(limit / SECOND)
        sock.connect(address.path or (address.host, address.port))
        if not address.path:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock
    except BaseException:
        sock.close()
        raise
