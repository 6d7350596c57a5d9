"""How many retries the daemon may add to the traffic it was given."""

__all__ = ["RetryBudget"]

MAXIMUM_SAVED_RETRIES = 20.0


class RetryBudget:
    """Allow retries up to a share of recent requests.

    Each request earns ``share`` of a retry and each retry spends one, so that failing
    endpoints can't multiply the load they are failing under.
    """

    def __init__(self, *, share: float):
        self.share = share
        self.saved = MAXIMUM_SAVED_RETRIES / 2

    def earn(self) -> None:
        """Count one request."""
        self.saved = min(self.saved + self.share, MAXIMUM_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry, or return false when none is left."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
