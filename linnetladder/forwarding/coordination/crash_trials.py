"""Trials of suspects: one request in the fleet at a time that may crash its endpoint.

For each suspect one daemon, the arbiter, grants trials. Who that is follows from the
list of daemons. Daemons that disagree on the list have two arbiters for a while, which
costs one more endpoint at most. A daemon that reaches none of them grants its own.
"""

import asyncio
import dataclasses
import itertools
import math
import secrets
from collections.abc import Callable

import xxhash

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.forwarding.coordination.peer_gossip import PeerGossip
from linnetladder.forwarding.coordination.poison import CrashLog
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.trial_messages import TrialAnswer, TrialRequest
from linnetladder.forwarding.state import ForwardRequest, Trial
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics

__all__ = ["CrashTrials"]

# Daemons that may grant trials of a suspect, each if those before it don't answer.
ARBITERS = 3
# An arbiter in another failure domain answers within some milliseconds.
ANSWER_TIMEOUT_SECONDS = 0.04
# Datagrams get lost, so an arbiter is asked more than once.
TRIES = 2
# An arbiter that did not answer is asked again after this time.
FAILURE_EXPIRY_SECONDS = 1.0
# A trial of which no end is heard is over after this time.
TRIAL_SECONDS = 3.0
# After a refused trial the arbiter is asked again no sooner than this.
DENIAL_SECONDS = 0.05
# Share of its objective for which a request waits for the trial of another one.
TRIAL_WAIT_SHARE = 0.5
# After the end of a trial, daemons first have to hear what came of it.
NEWS_SECONDS = 1.0
# When callers whose request waits for a trial of another one may come back.
RETRY_AFTER_SECONDS = 1.0
NONCE_BITS = 63


class CrashTrials:
    """Asks arbiters for trials, and is the arbiter of some suspects.

    ``granted`` holds the trial of each suspect that this daemon is the arbiter of.
    ``send`` sends a message to a daemon; it returns false if it can't.
    """

    def __init__(
        self,
        *,
        own_address: DaemonAddress,
        crashes: CrashLog,
        peers: PeerGossip,
        clock: Clock,
        metrics: Metrics,
    ):
        self.own_address = own_address
        self.crashes = crashes
        self.peers = peers
        self.clock = clock
        self.metrics = metrics
        self.send: Callable[[TrialRequest | TrialAnswer, DaemonAddress], bool] = (
            _send_nothing
        )
        self.granted: dict[str, Trial] = {}
        self.denied_until: dict[str, float] = {}
        self.failed_at: dict[str, float] = {}
        self.answers: dict[int, asyncio.Future[bool]] = {}

    def refuse(self, request: ForwardRequest) -> Refusal | None:
        """Return a refusal if a request may crash an endpoint and has no trial.

        A stream that has begun is not stopped for a crash or two, which may be a
        coincidence.
        """
        suspects = self._suspects_of(request)
        refusal = self.crashes.refuse(suspects)
        if refusal is not None:
            return refusal
        suspect = self.crashes.trial_suspect(suspects)
        if suspect is None or self._is_on_trial(request, suspect):
            return None
        return Refusal(
            ErrorKind.SUSPECTED_POISON,
            f"another request with the same suspect of crashes ({suspect}) is tried",
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )

    async def begin(self, request: ForwardRequest) -> None:
        """Ask for a trial of a request that may be sent on trial only.

        While another request is on trial, one whose suspect was answered before waits
        for a part of its objective: the suspect is likely to be cleared by then.
        """
        loop = asyncio.get_running_loop()
        wait_seconds = request.route.objective_seconds * TRIAL_WAIT_SHARE
        passed = self.clock.monotonic() - request.received
        latest = loop.time() + wait_seconds - passed
        while (suspect := self._untried_suspect(request)) is not None:
            self.end(request)
            await self._ask_for_trial(request, suspect)
            is_over = loop.time() + DENIAL_SECONDS > latest
            if request.trial is not None or is_over:
                return
            if not self.crashes.was_answered(suspect):
                return
            await asyncio.sleep(DENIAL_SECONDS)

    def _untried_suspect(self, request: ForwardRequest) -> str | None:
        """Return the suspect for which a request needs a trial that it doesn't have."""
        suspects = self._suspects_of(request)
        if self.crashes.refuse(suspects) is not None:
            return None
        suspect = self.crashes.trial_suspect(suspects)
        if suspect is None or self._is_on_trial(request, suspect):
            return None
        return suspect

    async def _ask_for_trial(self, request: ForwardRequest, suspect: str) -> None:
        if self.denied_until.get(suspect, -math.inf) > self.clock.monotonic():
            return
        request.trial = await self._reserve(suspect, times_sent=request.times_sent)
        label = "granted" if request.trial is not None else "denied"
        self.metrics.count("crash_trials", label=label)
        if request.trial is not None:
            request.history.append(f"trial of {suspect}")

    def end(self, request: ForwardRequest) -> None:
        """Give a request's trial back, if it has one."""
        trial, request.trial = request.trial, None
        if trial is None:
            return
        message = TrialRequest(
            sender=self.own_address.instance,
            nonce=trial.nonce,
            suspect=trial.suspect,
            ended=True,
            sent=request.times_sent > trial.times_sent,
        )
        self._end(message)
        arbiter = self._peer(trial.arbiter)
        if arbiter is not None:
            self.send(message, arbiter)

    def receive(self, message: TrialRequest | TrialAnswer) -> None:
        """Process a message of a peer."""
        if isinstance(message, TrialAnswer):
            answer = self.answers.get(message.nonce)
            if answer is not None and not answer.done():
                answer.set_result(message.granted)
            return
        if message.ended:
            self._end(message)
            return
        sender = self._peer(message.sender)
        if sender is not None:
            granted = self._grant(message)
            self.send(TrialAnswer(nonce=message.nonce, granted=granted), sender)

    def _suspects_of(self, request: ForwardRequest) -> tuple[str, ...]:
        if request.events and not self.crashes.is_cause(request.fingerprint):
            return request.part_suspects
        return request.suspects

    def _is_on_trial(self, request: ForwardRequest, suspect: str) -> bool:
        trial = request.trial
        if trial is None or trial.suspect != suspect:
            return False
        return self.clock.monotonic() < trial.until

    async def _reserve(self, suspect: str, *, times_sent: int) -> Trial | None:
        message = TrialRequest(
            sender=self.own_address.instance,
            nonce=secrets.randbits(NONCE_BITS) or 1,
            suspect=suspect,
        )
        granted, arbiter = None, self.own_address
        for arbiter in self._arbiters(suspect):
            if self._has_failed(arbiter):
                continue
            if arbiter is self.own_address:
                granted = self._grant(message)
            else:
                granted = await self._ask(arbiter, message)
            if granted is not None:
                break
        if granted is None:
            granted, arbiter = self._grant(message), self.own_address
        now = self.clock.monotonic()
        if not granted:
            self.denied_until[suspect] = now + DENIAL_SECONDS
            return None
        self.denied_until.pop(suspect, None)
        return Trial(
            suspect=suspect,
            nonce=message.nonce,
            until=now + TRIAL_SECONDS,
            arbiter=arbiter.instance,
            times_sent=times_sent,
        )

    async def _ask(self, arbiter: DaemonAddress, message: TrialRequest) -> bool | None:
        """Ask an arbiter for a trial; return ``None`` without an answer."""
        for _ in range(TRIES):
            answered = asyncio.get_running_loop().create_future()
            self.answers[message.nonce] = answered
            try:
                if not self.send(message, arbiter):
                    return None
                async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                    return await answered
            except TimeoutError:
                continue
            finally:
                del self.answers[message.nonce]
        self.failed_at[arbiter.instance] = self.clock.monotonic()
        return None

    def _grant(self, message: TrialRequest) -> bool:
        """Return whether a daemon may try a suspect now, as its arbiter."""
        now = self.clock.monotonic()
        running = self.granted.get(message.suspect)
        if running is not None and now < running.until:
            return running.nonce == message.nonce
        for suspect, trial in list(self.granted.items()):
            if trial.until <= now:
                del self.granted[suspect]
        self.granted[message.suspect] = Trial(
            suspect=message.suspect,
            nonce=message.nonce,
            until=now + TRIAL_SECONDS,
            arbiter=self.own_address.instance,
        )
        return True

    def _end(self, message: TrialRequest) -> None:
        trial = self.granted.get(message.suspect)
        if trial is None or trial.nonce != message.nonce:
            return
        if not message.sent:
            del self.granted[message.suspect]
        else:
            until = min(trial.until, self.clock.monotonic() + NEWS_SECONDS)
            self.granted[message.suspect] = dataclasses.replace(trial, until=until)

    def _arbiters(self, suspect: str) -> list[DaemonAddress]:
        """Return the daemons that grant trials of a suspect, in their order."""
        daemons = filter(self._stays, (self.own_address, *self.peers.peers))
        ranked = sorted(
            daemons,
            key=lambda daemon: xxhash.xxh64_intdigest(
                f"{suspect}\0{daemon.instance}".encode()
            ),
        )
        return list(itertools.islice(ranked, ARBITERS))

    def _stays(self, daemon: DaemonAddress) -> bool:
        """Return whether a daemon is not shutting down."""
        if daemon is self.own_address:
            return not self.peers.draining
        status = self.peers.peer_status.get(daemon.instance)
        return status is None or not status.draining

    def _peer(self, instance: str) -> DaemonAddress | None:
        return next((p for p in self.peers.peers if p.instance == instance), None)

    def _has_failed(self, arbiter: DaemonAddress) -> bool:
        failed_at = self.failed_at.get(arbiter.instance, -math.inf)
        return self.clock.monotonic() - failed_at < FAILURE_EXPIRY_SECONDS


def _send_nothing(message: TrialRequest | TrialAnswer, daemon: DaemonAddress) -> bool:
    """Send nothing; the default until a socket is open."""
    return False
