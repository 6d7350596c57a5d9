"""Entry point of the forwarding daemon on the platform.

It configures what must be in place before other modules are imported, then starts the
daemon.
"""

import gc
import os
import signal

__all__ = ["main"]


def main() -> None:
    """Run the daemon until a signal stops it."""
    # The default action would terminate a daemon that has not installed its handler
    # yet. There is nothing to reload at this point: the settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # uvloop reads this variable on import. io_uring is not available on instances.
    os.environ.setdefault("UV_USE_IO_URING", "0")
    # The HTTP library loads all system certificates on import, which takes an eighth of
    # the startup time. The daemon uses no TLS: the platform provides no certificates.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    # Imported objects live as long as the process, so collections during the imports
    # would only cost time. The daemon enables garbage collection once it has started.
    gc.disable()
    from linnetladder.fleet_daemon import run

    run()


if __name__ == "__main__":
    main()
