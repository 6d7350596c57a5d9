"""Explanation of where a request would go now, without sending it.

It runs the code of the decision itself: the admission checks, the choice of the model
and the scores of the endpoints.
"""

from returns.result import Failure

from linnetladder.errors import Refusal
from linnetladder.forwarding.coordination.forwarder import Forwarder
from linnetladder.forwarding.coordination.selection import SelectionInputs
from linnetladder.forwarding.state import (
    ForwardRequest,
    Prompt,
    PromptPart,
    RequestHead,
    Route,
)
from linnetladder.forwarding.state.explanations import (
    EndpointExplanation,
    ModelExplanation,
    RouteExplanation,
    RouteQuestion,
)
from linnetladder.forwarding.state.requests import ANY_MODEL
from linnetladder.state import Clock

__all__ = ["RouteExplainer"]

# Stands for the ids that a request brings and a question does not.
PLACEHOLDER = "explain-route"


class RouteExplainer:
    """Answers operators' questions about routes."""

    def __init__(self, *, instance: str, forwarder: Forwarder, clock: Clock):
        self.instance = instance
        self.forwarder = forwarder
        self.admission = forwarder.admission
        self.in_force = forwarder.in_force
        self.sender = forwarder.sender
        self.selection = forwarder.sender.selection
        self.clock = clock

    def explain(self, question: RouteQuestion) -> RouteExplanation | None:
        """Return the explanation, ``None`` if there is no such route."""
        table = self.in_force.table
        routes = table.routes if table is not None else ()
        route = next((r for r in routes if r.name == question.route), None)
        if route is None:
            return None
        fields = {
            "instance": self.instance,
            "configuration_version": table.version,
            "configuration_age_seconds": self.in_force.age(),
            "route": route.name,
        }
        received = self.clock.monotonic()
        examined = self.admission.examine(
            _build_head(question, route),
            b"",
            received=received,
            account_name=question.account,
        )
        if isinstance(examined, Failure):
            return RouteExplanation(refusal=_describe(examined.failure()), **fields)
        request = examined.unwrap()
        return RouteExplanation(
            account=request.account_name,
            service=request.service,
            priority=request.priority,
            deadline_seconds=request.deadline - received,
            **fields,
            **self._explain_choice(request),
        )

    def _explain_choice(self, request: ForwardRequest) -> dict[str, object]:
        """Return the fields on the model and the endpoints."""
        models: tuple[ModelExplanation, ...] = ()
        model = ""
        if request.route.models and request.head.model == ANY_MODEL:
            sizing_inputs = self.forwarder.sizing_inputs(request)
            position = self.forwarder.sizing.first_position(sizing_inputs)
            model = self.forwarder.requested_model(request, position)
            models = self.forwarder.sizing.explain(sizing_inputs)
        inputs = self.sender.selection_inputs(request, model)
        load = self.forwarder.load_admission.explain(request, inputs)
        endpoints = self._explain_endpoints(inputs)
        chosen = next((e.name for e in endpoints if e.chosen), "")
        refusal = self.sender.refuse_attempt(request, None)
        permit_wait = None
        if refusal is None and not chosen:
            permit_wait = self.sender.permit_wait(request, model)
            if permit_wait is None:
                refusal = self.sender.no_endpoint_refusal(request, model, None)
        return {
            "model": model,
            "models": models,
            "endpoint": chosen,
            "permit_wait_seconds": permit_wait,
            "expected_wait_seconds": load.expected_wait_seconds,
            "room_is_short": load.room_is_short,
            "over_share": load.over_share,
            "refusal": _describe(refusal) if refusal is not None else "",
            "score_unit": (
                "seconds" if inputs.has_prompt else "requests in flight per slot"
            ),
            "endpoints": endpoints,
        }

    def _explain_endpoints(
        self, inputs: SelectionInputs
    ) -> tuple[EndpointExplanation, ...]:
        """Return all endpoints of the service, candidates by score and first."""
        availability = self.selection.availability
        scored = self.selection.scored_candidates(inputs)
        scores = {candidate.endpoint.name: candidate for candidate in scored}
        best = min(scored, key=lambda candidate: candidate.score, default=None)
        chosen = best.endpoint if best is not None else None
        explanations = []
        for endpoint in self.selection.pool_endpoints(inputs):
            obstacle = availability.obstacle(endpoint)
            candidate = scores.get(endpoint.name)
            explanations.append(
                EndpointExplanation(
                    name=endpoint.name,
                    incarnation=endpoint.incarnation,
                    failure_domain=endpoint.failure_domain,
                    allowed_version=inputs.rule.allows(endpoint),
                    obstacle=str(obstacle.reason) if obstacle is not None else "",
                    obstacle_seconds=obstacle.seconds if obstacle is not None else None,
                    through_peers=availability.is_reached_by_peers(endpoint),
                    score=candidate.score if candidate is not None else None,
                    terms=candidate.terms if candidate is not None else {},
                    chosen=endpoint is chosen,
                )
            )
        return tuple(
            sorted(explanations, key=lambda e: (not e.chosen, e.score is None, e.score))
        )


def _build_head(question: RouteQuestion, route: Route) -> RequestHead:
    """Return the head of the request that a question is about."""
    prompt = None
    if question.input_tokens or question.session:
        own_tokens = question.input_tokens - question.shared_tokens
        own_tokens -= question.common_tokens
        parts = [PromptPart(PLACEHOLDER, own_tokens)]
        if question.session:
            parts.insert(0, PromptPart(question.session, question.shared_tokens))
        if question.common_tokens:
            parts.insert(0, PromptPart(f"{PLACEHOLDER}-common", question.common_tokens))
        prompt = Prompt(
            input_tokens=question.input_tokens,
            output_tokens=question.output_tokens,
            parts=tuple(parts),
        )
    return RequestHead(
        attempt_id=PLACEHOLDER,
        method="POST",
        target=route.prefix,
        path=route.prefix,
        host=route.host,
        headers=(),
        credential=question.credential,
        deadline_seconds=question.deadline_seconds,
        model=question.model or (ANY_MODEL if route.models else ""),
        prompt=prompt,
        resume_after="",
    )


def _describe(refusal: Refusal) -> str:
    return f"{refusal.kind}: {refusal.detail}"
