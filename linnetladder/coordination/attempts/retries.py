"""The retry budget, which limits the load that retries add to the traffic."""

__all__ = ["RetryBudget"]

MAXIMUM_BALANCE_RETRIES = 20.0


class RetryBudget:
    """Allow retries up to a share of recent requests.

    Each request deposits ``share`` of a retry and each retry withdraws one, so that
    retries can't multiply the load on endpoints that fail under it.
    """

    def __init__(self, *, share: float):
        self.share = share
        self.balance = MAXIMUM_BALANCE_RETRIES / 2

    def deposit(self) -> None:
        """Credit the budget for one request."""
        self.balance = min(self.balance + self.share, MAXIMUM_BALANCE_RETRIES)

    def try_withdraw(self) -> bool:
        """Withdraw one retry and return true, or return false if none is left."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
