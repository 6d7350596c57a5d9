"""Run the stateful fuzz test with random seeds for ``FUZZ_SECONDS`` seconds."""

import os
import subprocess
import sys
import time

EXAMPLES_PER_ROUND = "150"


def main() -> int:
    """Run rounds until the deadline or the first failure; return the exit code."""
    deadline = time.monotonic() + float(os.environ.get("FUZZ_SECONDS", "60"))
    rounds = 0
    environment = {**os.environ, "FUZZ_EXAMPLES": EXAMPLES_PER_ROUND}
    while time.monotonic() < deadline:
        command = [sys.executable, "-m", "pytest", "tests/test_fuzz.py", "-q"]
        code = subprocess.run(command, env=environment, check=False).returncode
        if code:
            return code
        rounds += 1
    print(f"{rounds} rounds of {EXAMPLES_PER_ROUND} examples without a violation")
    return 0


if __name__ == "__main__":
    sys.exit(main())
