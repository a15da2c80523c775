"""The routing table, compiled from the routing rules."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from tealcove.resources import kinds


class CompiledRule(msgspec.Struct, frozen=True):
    """A rule with its lists as sets; an empty set matches everything."""

    path_prefix: str
    methods: frozenset[str]
    models: frozenset[str]
    accounts: frozenset[str]
    rule: kinds.Resource

    def matches(
        self, path: str, method: str, model: str | None, account: str | None
    ) -> bool:
        """Tell whether a request matches the rule."""
        return (
            path.startswith(self.path_prefix)
            and (not self.methods or method in self.methods)
            and (not self.models or model in self.models)
            and (not self.accounts or account in self.accounts)
        )


def compile_rule(rule: kinds.Resource) -> CompiledRule:
    """Compile a resource of kind RoutingRule."""
    spec = rule.spec
    return CompiledRule(
        path_prefix=spec.path_prefix,
        methods=frozenset(method.upper() for method in spec.methods),
        models=frozenset(spec.models),
        accounts=frozenset(spec.accounts),
        rule=rule,
    )


class RoutingTable:
    """All rules in order of evaluation: by `order`, then by name."""

    def __init__(self, rules: Iterable[kinds.Resource]) -> None:
        ordered = sorted(rules, key=lambda rule: (rule.spec.order, rule.metadata.name))
        self.rules = tuple(compile_rule(rule) for rule in ordered)

    def route(
        self, path: str, method: str, model: str | None, account: str | None
    ) -> kinds.Resource | None:
        """Return the first rule that matches a request, or None."""
        for compiled in self.rules:
            if compiled.matches(path, method, model, account):
                return compiled.rule
        return None
