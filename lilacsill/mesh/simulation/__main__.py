"""Commands that play the mesh: real processes on loopback, or decisions in virtual time.

`python -m lilacsill.mesh.simulation`: a mesh of real processes serves on loopback while parts of it are killed;
`... explore`: a small case of the chain exhaustively (`lilacsill/mesh/simulation/explore.py`);
`... explore_losses`: the same with two losses in a row (`lilacsill/mesh/simulation/explore_losses.py`);
`... schedules`: days of the chain by seed (`lilacsill/mesh/simulation/schedules.py`);
`... orders`: operators' orders under trouble (`lilacsill/mesh/simulation/order_scenarios.py`);
`... replacements`: all core machines replaced in turn (`lilacsill/mesh/simulation/replacement_day.py`).
"""

from __future__ import annotations

import sys

from .loopback import LoopbackMesh, rules


def tour(seconds: float = 8.0) -> int:
    """Play three core machines, four proxies with a backend each, and eight clients; return 1 where a rule was broken.

    A core machine is killed and comes back, a route is added meanwhile, a backend drains.
    """
    with LoopbackMesh() as mesh:
        statuses: list[int] = []
        mesh.operate(rules(1, ["reads", "writes"]), statuses.append)
        if not mesh.until(lambda: statuses == [200], 10):
            print(f"the first configuration is not acknowledged: {statuses}")
            return 1
        mesh.run(1.5)  # beats and news
        until = mesh.reactor.now() + int(seconds * 1e6)
        for ip in mesh.sidecars:
            mesh.client(ip, b"/reads/a", b"GET", until)
            mesh.client(ip, b"/writes/a", b"POST", until)
        for second in range(int(seconds)):
            report = ""
            if second == 2:
                mesh.kill_core(mesh.cores[0])
                report = f"core machine {mesh.cores[0]} is killed"
            elif second == 3:
                mesh.operate(rules(2, ["more"]), statuses.append)
                report = "a route is added"
            elif second == 4:
                mesh.start_core(mesh.cores[0])
                report = f"{mesh.cores[0]} is started again"
            elif second == 5:
                mesh.backends[mesh.sidecars[0]].state = "draining"
                report = f"the backend beside {mesh.sidecars[0]} drains"
            before = mesh.served.copy()
            mesh.run(1.0)
            now = mesh.served - before
            counts = "  ".join(f"{what} {now[what]:4}" for what in ("served", "refused", "failed"))
            print(f"{second:3} s  {counts}  {report}", flush=True)
        mesh.run(0.5)
        doubled = [n for n in mesh.doubled() if mesh.answered.get(n) != 200]
        twice = [n for n, times in mesh.ran.items() if times > 1]
        print(f"calls of the operator: {statuses}; refused and run: {len(doubled)}; run more than once: {len(twice)}")
        return int(statuses != [200, 200] or bool(doubled) or not mesh.served["served"])


def main() -> int:
    """Run the tour, or the command that the arguments name. Return the exit status."""
    if len(sys.argv) == 1:
        return tour()
    import fire

    from .explore import explore
    from .explore_losses import explore_losses
    from .order_scenarios import orders
    from .replacement_day import replacements
    from .schedules import schedules

    commands = {
        "explore": explore,
        "explore_losses": explore_losses,
        "orders": orders,
        "replacements": replacements,
        "schedules": schedules,
        "tour": tour,
    }
    return int(fire.Fire(commands, name="python -m lilacsill.mesh.simulation", serialize=_silent) or 0)


def _silent(_: object) -> None:
    return None


if __name__ == "__main__":
    sys.exit(main())
