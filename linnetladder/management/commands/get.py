"""Show the values in force at a node, each with the node that set it."""

import dataclasses

from absl import flags
from returns.result import Failure

from linnetladder.management.base import Command, Context, ExitCode
from linnetladder.state.settings import NodeSettings

__all__ = ["COMMAND"]


class GetCommand(Command):
    """Print a node's resolved settings and the node that each comes from."""

    name = "get"
    summary = "Show the values in force at a node, each with the node that set it."
    usage = "get PATH [SETTING]"

    async def run(
        self, context: Context, values: flags.FlagValues, arguments: list[str]
    ) -> ExitCode:
        """Resolve the node in the current revision and print one setting or all."""
        if len(arguments) not in (1, 2):
            return context.fail(
                "give the path of a node and at most one setting", ExitCode.USAGE
            )
        read = await context.publisher.read_head()
        if isinstance(read, Failure):
            return context.fail_with_fault(read.failure())
        manifest = read.unwrap().manifest
        if manifest is None:
            return context.fail("there is no configuration yet", ExitCode.NOT_FOUND)
        fetched = await context.publisher.read_snapshot(manifest)
        if isinstance(fetched, Failure):
            return context.fail_with_fault(fetched.failure())
        tree = fetched.unwrap().tree
        node = tree.find(arguments[0])
        if node is None:
            detail = f"node {arguments[0]!r} does not exist"
            return context.fail(detail, ExitCode.NOT_FOUND)
        setting_names = [field.name for field in dataclasses.fields(NodeSettings)]
        if len(arguments) == 2:
            if arguments[1] not in setting_names:
                detail = f"setting {arguments[1]!r} does not exist"
                return context.fail(detail, ExitCode.NOT_FOUND)
            setting_names = [arguments[1]]
        resolved = tree.resolve(node.name)
        rows = [
            (name, getattr(resolved.values, name), resolved.origins[name])
            for name in setting_names
        ]
        if context.format == "json":
            context.print_json(
                {
                    name: {"value": value, "node": node_name}
                    for name, value, node_name in rows
                }
            )
        else:
            context.print(f"{resolved.path} at revision {manifest.revision}")
            context.print_table(("setting", "value", "set by"), rows)
        return ExitCode.OK


COMMAND = GetCommand()
