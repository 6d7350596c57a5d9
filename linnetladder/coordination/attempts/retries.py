"""How many retries the daemon may add to the traffic it was given."""

__all__ = ["RetryBudget"]

MAXIMUM_BALANCE_RETRIES = 20.0


class RetryBudget:
    """Allow retries up to a share of recent requests.

    Each request earns ``share`` of a retry and each retry spends one, so that failing
    endpoints can't multiply the load they are failing under.
    """

    def __init__(self, *, share: float):
        self.share = share
        self.balance = MAXIMUM_BALANCE_RETRIES / 2

    def deposit(self) -> None:
        """Count one request."""
        self.balance = min(self.balance + self.share, MAXIMUM_BALANCE_RETRIES)

    def try_withdraw(self) -> bool:
        """Take one retry, or return false when none is left."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
