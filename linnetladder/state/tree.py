"""The settings tree, whose nodes inherit settings from their parent or override them.

A `SettingsTree` is immutable. It is built from nodes that already passed the checks
of the declaration format, and resolves the settings of any node on first use, so
that the cost of a change does not grow with the number of client accounts.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from linnetladder.state.settings import (
    NARROWING,
    SETTING_DEFAULTS,
    NodeSettings,
    ResolvedSettings,
)

__all__ = [
    "DEFAULT_ORIGIN",
    "Node",
    "SettingsTree",
    "TreeProblem",
    "find_tree_problems",
]

DEFAULT_ORIGIN = "(default)"
SETTING_NAMES = tuple(field.name for field in dataclasses.fields(NodeSettings))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """A node of the settings tree: a team, a service or a client account.

    ``account`` is true for a client account. ``credentials`` holds SHA-256 digests in
    hexadecimal and only a client account has any. ``locked`` names the settings that no
    node below may widen.
    """

    name: str
    parent: str = ""
    account: bool = False
    credentials: tuple[str, ...] = ()
    locked: tuple[str, ...] = ()
    settings: NodeSettings = NodeSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class TreeProblem:
    """An invalid relation between nodes, with the node and setting that cause it."""

    node: str
    setting: str
    message: str


class SettingsTree:
    """Look up nodes, credentials and the values in force for a client account."""

    def __init__(self, *, nodes: Iterable[Node]):
        self.nodes: Mapping[str, Node] = {node.name: node for node in nodes}
        self.resolved: dict[str, ResolvedSettings] = {}
        self.accounts_by_credential = {
            digest: node.name
            for node in self.nodes.values()
            for digest in node.credentials
        }

    def path(self, name: str) -> str:
        """Return the names from the root to a node, joined by ``/``."""
        names = [node.name for node in self.lineage(name)]
        return "/".join(names)

    def lineage(self, name: str) -> list[Node]:
        """Return the nodes from the root down to ``name``."""
        chain = []
        current = self.nodes.get(name)
        while current is not None:
            chain.append(current)
            current = self.nodes.get(current.parent)
        chain.reverse()
        return chain

    def find(self, path: str) -> Node | None:
        """Return the node with a path or, if ``path`` has no ``/``, with that name."""
        node = self.nodes.get(path.rpartition("/")[2])
        if node is None or "/" not in path or self.path(node.name) == path:
            return node
        return None

    def resolve(self, name: str) -> ResolvedSettings:
        """Return the values in force at a node; raise `KeyError` if it is unknown."""
        cached = self.resolved.get(name)
        if cached is None:
            cached = self._resolve(self.nodes[name])
            self.resolved[name] = cached
        return cached

    def _resolve(self, node: Node) -> ResolvedSettings:
        if node.parent:
            above = self.resolve(node.parent)
            values, origins = above.values, dict(above.origins)
        else:
            values = SETTING_DEFAULTS
            origins = dict.fromkeys(SETTING_NAMES, DEFAULT_ORIGIN)
        path = self.path(node.name)
        overrides = {}
        for setting in SETTING_NAMES:
            value = getattr(node.settings, setting)
            if value is None:
                continue
            overrides[setting] = value
            origins[setting] = path
        values = dataclasses.replace(values, **overrides)
        return ResolvedSettings(path=path, values=values, origins=origins)


def _find_parent_problems(nodes: Mapping[str, Node]) -> list[TreeProblem]:
    problems = []
    for node in nodes.values():
        if node.parent and node.parent not in nodes:
            message = f"parent {node.parent!r} of node {node.name!r} does not exist"
            problems.append(TreeProblem(node.name, "parent", message))
            continue
        seen = {node.name}
        above = nodes.get(node.parent)
        while above is not None and above.name not in seen:
            seen.add(above.name)
            above = nodes.get(above.parent)
        if above is not None and above.name == node.name:
            message = f"node {node.name!r} is its own ancestor"
            problems.append(TreeProblem(node.name, "parent", message))
    return problems


def _find_locked_problems(tree: SettingsTree, node: Node) -> list[TreeProblem]:
    problems = []
    for ancestor in tree.lineage(node.name)[:-1]:
        outer = tree.resolve(ancestor.name).values
        for setting in ancestor.locked:
            value = getattr(node.settings, setting)
            limit = getattr(outer, setting)
            if value is None or NARROWING[setting](value, limit):
                continue
            message = (
                f"{setting} {value!r} of node {node.name!r} is wider than {limit!r}, "
                f"which node {ancestor.name!r} locks"
            )
            problems.append(TreeProblem(node.name, setting, message))
    return problems


def find_tree_problems(nodes: Iterable[Node]) -> list[TreeProblem]:
    """Return every invalid relation between nodes, in the order of the nodes.

    If there are unknown parents or cycles, only these are returned, since settings
    can't be resolved in such a tree.
    """
    by_name = {node.name: node for node in nodes}
    problems = _find_parent_problems(by_name)
    if problems:
        return problems
    tree = SettingsTree(nodes=by_name.values())
    for node in by_name.values():
        problems.extend(_find_locked_problems(tree, node))
    return problems
