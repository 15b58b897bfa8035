"""What should become of an order, written as simply as can be: everything is remembered, the whole state is checked."""

from __future__ import annotations

from typing import Any

Key = tuple[str, str]
Content = Any  # None: dropped


class Model:
    """A book with the newest version of each item, and all that was ever accepted."""

    def __init__(self) -> None:
        self.known: dict[Key, tuple[int, Content]] = {}
        self.accepted: dict[tuple[str, str, int], Content] = {}

    def judge(self, body: dict[str, Any]) -> int:
        """The status that is due; all of the call is taken, or nothing."""
        changes = self._changes(body)
        if changes is None:
            return 400
        after, wrong = dict(self.known), False
        for key, (version, content) in changes.items():
            numbered = (*key, version)
            if numbered in self.accepted:
                if self.accepted[numbered] != content:
                    return 409
            elif version > self.known.get(key, (-1, None))[0]:
                after[key] = version, content
            else:
                wrong = wrong or self._names_a_stranger(key, content, changes)
        if wrong or not self._is_valid(after):
            return 400
        self.known = after
        self.accepted |= {(*key, version): content for key, (version, content) in changes.items()}
        return 200

    @staticmethod
    def _changes(body: dict[str, Any]) -> dict[Key, tuple[int, Content]] | None:
        """None: an item is named twice, with two contents, or two routes of the call claim one place."""
        sets, drops = body.get("ReplaceItems", {}), body.get("RemoveItems", {})
        listed: list[tuple[Key, dict[str, Any], Content]] = []
        places: dict[str, str] = {}
        for listener in sets.get("Listeners", []):
            for rule in listener["Policy"]:
                listed.append((("route", rule["Name"]), rule, rule))
                if places.setdefault(rule["When"]["PathPrefix"], rule["Name"]) != rule["Name"]:
                    return None
        listed += [(("service", s["Name"]), s, s) for s in sets.get("Groups", [])]
        listed += [(("route", d["Name"]), d, None) for d in drops.get("Routing", [])]
        listed += [(("service", d["Name"]), d, None) for d in drops.get("ServiceList", [])]
        changes: dict[Key, tuple[int, Content]] = {}
        for key, tagged, content in listed:
            change = int(tagged["ConfigVersion"][1:]), content
            if changes.setdefault(key, change) != change:
                return None
        return changes

    def _names_a_stranger(self, key: Key, content: Content, changes: dict[Key, tuple[int, Content]]) -> bool:
        """An overtaken route may name any service that was ever there."""
        if key[0] != "route" or content is None:
            return False
        service = ("service", content["Then"]["TargetService"])
        return service not in self.known and changes.get(service, (0, None))[1] is None

    @staticmethod
    def _is_valid(known: dict[Key, tuple[int, Content]]) -> bool:
        rules = [content for (kind, _), (_, content) in known.items() if kind == "route" and content is not None]
        places = [rule["When"]["PathPrefix"] for rule in rules]
        services = {name for (kind, name), (_, content) in known.items() if kind == "service" and content is not None}
        return len(places) == len(set(places)) and all(r["Then"]["TargetService"] in services for r in rules)

    def layout(self) -> dict[Key, Content]:
        """Return the contents of the items that are not dropped."""
        return {key: content for key, (_, content) in self.known.items() if content is not None}

    @staticmethod
    def laid_out(read: dict[str, Any]) -> dict[Key, Content]:
        """The same of an answer to a read."""
        rules = [rule for listener in read["Listeners"] for rule in listener["Policy"]]
        found = {("route", rule["Name"]): rule for rule in rules}
        return found | {("service", s["Name"]): s for s in read["Groups"]}
