"""Independent checker of the guarantees that the router gives.

Callers, endpoints and the ledger record what they observe as a history; the checker
compares the history with each guarantee. Nothing here imports the product.
"""

from proof.checker import Rules, Violation, check_history
from proof.history import History

__all__ = ["History", "Rules", "Violation", "check_history"]
