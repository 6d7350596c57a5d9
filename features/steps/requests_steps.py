"""Steps that send requests and check replies."""

import asyncio
import json

from behave import given, then, when

from linnetladder.coordination.billing.ledger_reading import read_bills
from standins.engine import answer_text


def run(context, work):
    return context.loop.run_until_complete(work)


def send_chat(context, **options):
    reply = run(context, context.site.chat(**options))
    context.replies.append(reply)
    return reply


@when('client account "{account}" asks for "{model}"')
def ask(context, account, model):
    send_chat(context, account=account, model=model)


@when('client account "{account}" asks daemon {number:d} for "{model}"')
def ask_daemon(context, account, number, model):
    send_chat(context, account=account, model=model, daemon=number - 1)


@when('client account "{account}" asks with the text "{text}"')
def ask_text(context, account, text):
    context.saved["text"] = text
    send_chat(context, account=account, text=text)


@when('client account "{account}" asks for a stream with the text "{text}"')
def ask_stream(context, account, text):
    context.saved["text"] = text
    send_chat(context, account=account, text=text, stream=True)


@when('client account "{account}" sends the body "{body}"')
def send_body(context, account, body):
    reply = run(context, context.site.send(account=account, body=body.encode()))
    context.replies.append(reply)


@when("a request is sent without a credential")
def ask_anonymously(context):
    send_chat(context, account="")


@when("{count:d} requests are sent to each daemon at once")
def ask_many(context, count):
    work = [
        context.site.chat(text=f"text {n}", daemon=daemon, stream=n % 2 == 0)
        for n in range(count)
        for daemon in range(len(context.site.daemons))
    ]

    async def gather():
        return await asyncio.gather(*work)

    context.replies.extend(run(context, gather()))


@when('client account "{account}" opens a session')
def open_session(context, account):
    reply = send_chat(
        context, account=account, headers={"Linnetladder-Session": "open"}
    )
    context.saved["token"] = reply.headers["Linnetladder-Session"]
    context.saved["pinned"] = reply.version


@when('client account "{account}" continues the session at daemon {number:d}')
def continue_session(context, account, number):
    headers = {"Linnetladder-Session": context.saved["token"]}
    send_chat(context, account=account, daemon=number - 1, headers=headers)


@when("the session token is forged")
def forge_session_token(context):
    token = context.saved["token"]
    last = "A" if token[-1] != "A" else "B"
    context.saved["token"] = token[:-1] + last


@when('order "{key}" is sent to daemon {number:d}')
def send_order(context, key, number):
    reply = run(
        context,
        context.site.send(
            path="/v1/services/desk/orders",
            body={"order": key},
            daemon=number - 1,
            headers={"Idempotency-Key": key, "Linnetladder-Deadline-Ms": "3000"},
        ),
    )
    context.replies.append(reply)


@given("the plain service loses its reply to the next order")
def lose_reply(context):
    for service in context.site.services:
        service.faults["lose_reply"] = 1


@given('every engine injects the fault "{fault}" {count:d} times')
def engine_fault(context, fault, count):
    for engine in context.site.engines:
        engine.faults[fault] = count


@given('the platform is "{mode}"')
@when('the platform is "{mode}"')
def platform_mode(context, mode):
    context.site.platform.set_mode(mode)


@then("the request is answered")
def answered(context):
    reply = context.replies[-1]
    assert reply.status == 200, reply.body


@then('the answer names version "{version}"')
def names_version(context, version):
    assert context.replies[-1].version == version, context.replies[-1].version


@then("the answer has the right text")
def right_text(context):
    reply = context.replies[-1]
    messages = [{"role": "user", "content": context.saved["text"]}]
    assert reply.content == answer_text(messages, reply.version)


@then("the stream is whole and has the right text")
def right_stream(context):
    reply = context.replies[-1]
    events = reply.body.split(b"\n\n")
    assert events[-2] == b"data: [DONE]", events[-3:]
    text = "".join(
        json.loads(event[6:])["choices"][0]["delta"].get("content", "")
        for event in events[:-2]
    )
    messages = [{"role": "user", "content": context.saved["text"]}]
    assert text == answer_text(messages, reply.version), text


@then('the request is refused as "{kind}" with ran "{ran}"')
def refused(context, kind, ran):
    reply = context.replies[-1]
    problem = reply.document
    assert (problem["kind"], problem["ran"]) == (kind, ran), problem
    assert reply.status == problem["status"]
    assert reply.headers["Content-Type"] == "application/problem+json"


@then('the explanation names node "{node}"')
def names_node(context, node):
    explanation = context.replies[-1].document["explanation"]
    assert explanation["node"] == node, explanation


@then("all requests are answered")
def all_answered(context):
    assert {reply.status for reply in context.replies} == {200}


@then("exactly {count:d} requests are billed")
def billed(context, count):
    bills = run(context, read_bills(context.site.store)).unwrap()
    assert len(bills) == count, len(bills)


@then("exactly {count:d} requests ran")
def ran(context, count):
    assert len(context.site.runs()) == count, context.site.runs()


@then("the session keeps its version")
def keeps_version(context):
    assert context.replies[-1].version == context.saved["pinned"]


@given('engine {number:d} injects the fault "{fault}" {count:d} times')
def one_engine_fault(context, number, fault, count):
    context.site.engines[number - 1].faults[fault] = count


@when('client account "{account}" fetches a ticket from daemon {number:d}')
def fetch_ticket(context, account, number):
    reply = run(
        context,
        context.site.send(account=account, path="/v1/tickets", daemon=number - 1),
    )
    context.saved["ticket"] = reply.document["ticket"]


@when("the ticket is spent at daemon {number:d}")
def spend_ticket(context, number):
    reply = run(
        context,
        context.site.send(
            path="/v1/services/desk/orders",
            body={"order": 1},
            daemon=number - 1,
            headers={"Linnetladder-Ticket": context.saved["ticket"]},
        ),
    )
    context.replies.append(reply)


@when('client account "{account}" sends the body "{body}" with an idempotency key')
def send_body_with_idempotency_key(context, account, body):
    headers = {"Idempotency-Key": "named"}
    work = context.site.send(account=account, body=body.encode(), headers=headers)
    context.replies.append(run(context, work))
