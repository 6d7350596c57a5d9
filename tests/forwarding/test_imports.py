"""What the forwarding daemon imports."""

import subprocess
import sys

FORBIDDEN = ("grpc", "linnetladder.transport.peer_links")
PROGRAM = "import sys, linnetladder.fleet_daemon; print(*sys.modules)"


# Guards against a daemon that starts more slowly, and holds tens of megabytes more, for
# modules of the daemon of a site that a package imports for it.
def test_the_forwarding_daemon_imports_nothing_of_peer_links():
    command = [sys.executable, "-c", PROGRAM]
    output = subprocess.run(command, capture_output=True, text=True, check=True)
    assert not set(FORBIDDEN) & set(output.stdout.split())
