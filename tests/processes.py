"""Platform front ends as separate processes, for tests that start several and send them signals."""
import json
import os
import sys
from pathlib import Path

from gevent import subprocess

from tests.live import free_port, until
from tests.platform import Client, configuration
from threadshift.conf.values import Address

ROOT = Path(__file__).resolve().parent.parent


class FrontEndProcess:
    """`python -m threadshift.node` with a configuration file; killed when the context is left."""

    def __init__(self, folder, name, **changes):
        self.address = Address("127.0.0.1", free_port())
        path = Path(folder, f"{name}.json")
        path.write_text(json.dumps(configuration(name=name, listen=str(self.address), **changes)))
        self.process = subprocess.Popen([sys.executable, "-m", "threadshift.node"], cwd=ROOT,
                                        env=os.environ | {"NODE_CONFIG": str(path)}, stderr=subprocess.DEVNULL)
        self.clients = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for client in self.clients:
            client.close()
        self.process.kill()
        self.process.wait()

    def client(self):
        """A new connection, as soon as the process accepts one."""
        until(self.accepts)
        return self.clients[-1]

    def accepts(self):
        try:
            self.clients.append(Client(self.address))
        except OSError:
            return False
        return True
