"""Add a signing key and retire all but the one before it."""

import secrets
import time

from absl import flags
from returns.result import Failure

from linnetladder.coordination.configuration.live_state import KEY_PREFIX
from linnetladder.coordination.platform import Condition, Put
from linnetladder.management.base import Command, Context, ExitCode
from linnetladder.state import SigningKey
from linnetladder.state.signing import signing_key_to_json

__all__ = ["COMMAND"]

KEYS_KEPT = 2
SECRET_BYTES = 32


class RotateKeyCommand(Command):
    """Add a signing key; signatures made with the previous key stay valid."""

    name = "rotate-key"
    summary = "Add a signing key and retire all but the one before it."
    usage = "rotate-key"

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Write the new key and delete the retired keys in one transaction."""
        listed = await context.store.list_prefix(KEY_PREFIX)
        if isinstance(listed, Failure):
            return context.fail(listed.failure().detail, ExitCode.UNREACHABLE)
        existing_keys = sorted(record.key for record in listed.unwrap())
        newest_number = (
            int(existing_keys[-1].removeprefix(KEY_PREFIX)) if existing_keys else 0
        )
        key_id = f"{newest_number + 1:010d}"
        key = SigningKey(key_id, secrets.token_hex(SECRET_BYTES), time.time())
        retired_keys = tuple(existing_keys[: -(KEYS_KEPT - 1)]) if existing_keys else ()
        written = await context.store.transact(
            conditions=(Condition(KEY_PREFIX + key_id),),
            puts=(Put(KEY_PREFIX + key_id, signing_key_to_json(key)),),
            deletes=retired_keys,
        )
        if isinstance(written, Failure):
            return context.fail(written.failure().detail, ExitCode.UNKNOWN_OUTCOME)
        if not written.unwrap().succeeded:
            return context.fail("another key rotation was written first", ExitCode.RACE)
        context.print(f"signing key {key_id} added; {len(retired_keys)} keys retired")
        return ExitCode.OK


COMMAND = RotateKeyCommand()
