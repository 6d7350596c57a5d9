"""The command that runs the daemon on the users' platform.

What must hold before a library is loaded is set here, and nothing else.
"""

import gc
import os

__all__ = ["main"]


def main() -> None:
    """Run until a signal."""
    # uvloop reads this when it is loaded; instances do not offer io_uring.
    os.environ.setdefault("UV_USE_IO_URING", "0")
    # What is imported stays for good, so collecting garbage meanwhile only takes time.
    gc.disable()
    from linnetladder.fleet_daemon import run

    run()


if __name__ == "__main__":
    main()
