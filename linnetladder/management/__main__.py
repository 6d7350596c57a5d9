"""Run the tool as ``python -m linnetladder.management``."""

from linnetladder.management import main

main()
