"""Checks caches and weights of engines, and who orders their loads."""

from sardinewharf.soak.invariants import checks


class EngineCheck(checks.Check):
    """Checks that caches and fencing tokens are not shared wrongly."""

    def check(self) -> None:
        """Checks all runs and orders."""
        self._check_caches()
        self._check_load_orders()

    def check_final(self, now: float) -> None:
        """Checks that the newest weights are in place."""
        self._check_weights()

    def _check_caches(self) -> None:
        salts: dict[str, int] = {}
        runs = [run for runs in self.record.began.values() for run in runs]
        for run in runs:
            if not run.salt:
                continue
            weights = salts.setdefault(run.salt, run.weights)
            if weights != run.weights:
                self.add_finding(
                    checks.Invariant.CACHE,
                    f"cache {run.salt} used on weights {weights} and"
                    f" {run.weights}",
                )

    def _check_load_orders(self) -> None:
        holders: dict[int, str] = {}
        for order in self.record.ordered:
            holder = holders.setdefault(order.fence, order.holder)
            if holder != order.holder:
                self.add_finding(
                    checks.Invariant.HOLDER,
                    f"fence {order.fence} used by {holder} and {order.holder}",
                )

    def _check_weights(self) -> None:
        if not self.record.operator.target_versions:
            return
        target_version = int(self.record.operator.target_versions[-1].name)
        outdated = [
            name
            for name in self.record.deployment.engines
            if self.record.deployment.read_weights_version(name)
            != target_version
        ]
        if outdated:
            self.add_finding(
                checks.Invariant.WEIGHTS,
                f"{', '.join(outdated)} not on version {target_version}",
            )
