"""The command that runs the daemon on the users' platform.

What must hold before a library is loaded is set here, and nothing else.
"""

import gc
import os
import signal

__all__ = ["main"]


def main() -> None:
    """Run until a signal."""
    # Its default would end a daemon that has not come far enough to take it. The
    # settings are about to be read anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # uvloop reads this when it is loaded; instances do not offer io_uring.
    os.environ.setdefault("UV_USE_IO_URING", "0")
    # The HTTP library reads all certificates of the system when it is loaded, an eighth
    # of the time to a start. Nothing here speaks TLS: the platform hands out none.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    # What is imported stays for good, so collecting garbage meanwhile only takes time.
    gc.disable()
    from linnetladder.fleet_daemon import run

    run()


if __name__ == "__main__":
    main()
