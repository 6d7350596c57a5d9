"""Proof of the promises: what was seen, and an independent check of it.

Nothing here imports the product. Callers, endpoints and the ledger record what they
see; the checker decides, for each promise, whether what was seen keeps it.
"""

from proof.checker import Rules, Violation, check_history
from proof.history import History

__all__ = ["History", "Rules", "Violation", "check_history"]
