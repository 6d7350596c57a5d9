"""Detection of degraded versions under roll-out by sequential tests.

Two kinds of test run for each version under roll-out: over ratings, one for each kind
of request, and over the success of attempts at endpoints. When one raises an alarm, the
daemon stops using ("pulls") the version at once and publishes its withdrawal for all
daemons as an ordinary configuration change. Any daemon may do so: the change is a
compare-and-swap, so the first one takes effect.
"""

from returns.result import Failure

from linnetladder.coordination.background import BackgroundTasks
from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.configuration.publishing import Change, Publisher
from linnetladder.state import VersionRef
from linnetladder.state.estimates import Rating
from linnetladder.state.sequential import CusumTest
from linnetladder.state.versions import Withdrawal
from linnetladder.telemetry import Metrics, log_change

__all__ = ["HealthWatch"]

# Share of attempts that succeed for a good version.
EXPECTED_SUCCESS_SHARE = 0.995
MAXIMUM_PUBLISH_ATTEMPTS = 5


class HealthWatch:
    """Test versions under roll-out and pull those that degrade.

    ``pulls`` is false where the settings disable pulling.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationInForce,
        publisher: Publisher,
        background: BackgroundTasks,
        metrics: Metrics,
        instance: str,
        pulls: bool,
    ):
        self.configuration = configuration
        self.publisher = publisher
        self.background = background
        self.metrics = metrics
        self.instance = instance
        self.pulls = pulls
        self.rating_tests: dict[tuple[VersionRef, str], CusumTest] = {}
        self.outcome_tests: dict[VersionRef, CusumTest] = {}
        self.pulled: set[VersionRef] = set()

    def pulled_names(self) -> tuple[str, ...]:
        """Return the versions that this daemon has pulled."""
        return tuple(sorted(str(ref) for ref in self.pulled))

    async def add_rating(self, rating: Rating) -> None:
        """Add a rating of an answer that came from a single version."""
        ref = VersionRef.parse(rating.target)
        snapshot = self.configuration.snapshot
        if snapshot is None or not self._is_candidate(rating.account, ref):
            return
        key = (ref, rating.request_kind)
        test = self.rating_tests.get(key)
        if test is None:
            expected = snapshot.versions[ref].expected_quality(rating.request_kind)
            test = CusumTest(expected=expected)
            self.rating_tests[key] = test
        if test.add(good=rating.accepted):
            self.pull(ref, f"ratings of {rating.request_kind!r} fell")

    def add_outcome(self, account: str, ref: VersionRef, *, success: bool) -> None:
        """Add whether an attempt at an endpoint succeeded for a version."""
        if not self._is_candidate(account, ref):
            return
        test = self.outcome_tests.get(ref)
        if test is None:
            test = CusumTest(expected=EXPECTED_SUCCESS_SHARE, drops=(0.05, 0.25, 0.5))
            self.outcome_tests[ref] = test
        if test.add(good=success):
            self.pull(ref, "its endpoints fail to answer rightly")

    def pull(self, ref: VersionRef, reason: str) -> None:
        """Stop using a version here, and start its withdrawal for all daemons."""
        if ref in self.pulled or not self.pulls:
            return
        self.pulled.add(ref)
        self.metrics.count("versions_pulled")
        log_change("version pulled", version=str(ref), reason=reason)
        self.background.start(self._publish_withdrawal(ref, reason))

    async def _publish_withdrawal(self, ref: VersionRef, reason: str) -> None:
        """Publish a version's withdrawal unless another daemon already has."""
        author = f"daemon {self.instance}"
        withdrawal = Withdrawal(ref, reason, author)
        change = Change(author=author, message=f"pull {ref}: {reason}")
        for _ in range(MAXIMUM_PUBLISH_ATTEMPTS):
            snapshot = self.configuration.snapshot
            if snapshot is not None and ref in snapshot.withdrawn:
                return
            published = await self.publisher.withdraw(withdrawal, change)
            if not isinstance(published, Failure):
                return

    def _is_candidate(self, account: str, ref: VersionRef) -> bool:
        """Return whether a version is under roll-out for an account."""
        snapshot = self.configuration.snapshot
        if snapshot is None or ref not in snapshot.versions:
            return False
        if account not in snapshot.tree.nodes:
            return False
        rollout = snapshot.view(account).settings.rollout(ref.model)
        return rollout is not None and rollout.candidate == ref.version
