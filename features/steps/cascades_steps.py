"""Steps for ratings, cascades and roll-outs."""

import time

from behave import given, then, when

from linnetladder.coordination.cascades.learner import PriceControl
from linnetladder.state import VersionRef
from tests.support.site import declarations_text


def run(context, work):
    return context.loop.run_until_complete(work)


@given('client account "{account}" has a quality price at which escalation pays off')
def set_quality_price(context, account):
    """Set a price at which escalating is worth more than either version alone."""
    for daemon in context.site.daemons:
        control = PriceControl(scale=200_000.0, chosen=1000.0)
        daemon.parts.learner.controls[account] = control


@given('version "{version}" of model "{model}" is under roll-out')
def under_rollout(context, version, model):
    old = model + ': {stable: "1"}'
    new = model + f': {{stable: "1", candidate: "{version}", share: 0.5}}'
    revision = run(context, context.site.apply(declarations_text(**{old: new})))
    daemons = context.site.daemons
    run(
        context,
        context.site.wait_for(
            lambda: all(d.parts.configuration.revision == revision for d in daemons)
        ),
    )


@when('{count:d} answers of version "{version}" are rejected')
def rejected(context, count, version):
    ratings = [
        {
            "account": "studio",
            "request_kind": "default",
            "target": version,
            "accepted": False,
            "time_seconds": time.time(),
        }
    ] * count
    context.site.platform.ratings.extend(ratings)
    daemons = context.site.daemons
    run(
        context,
        context.site.wait_for(
            lambda: all(d.parts.feed.position == count for d in daemons)
        ),
    )


@then('version "{version}" is withdrawn on every daemon')
def withdrawn_everywhere(context, version):
    ref = VersionRef.parse(version)
    daemons = context.site.daemons
    run(
        context,
        context.site.wait_for(
            lambda: all(
                ref in d.parts.configuration.snapshot.withdrawn for d in daemons
            )
        ),
    )
