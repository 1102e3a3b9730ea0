"""Which data centres belong to which region, learned from targets.

Routers name their data centre only; targets name their region too.
"""

import collections.abc


class Regions:
    """Live routers by region.

    Parameters
    ----------
    region : str
        Region of this router.
    mesh : object
        Links to the other routers.
    targets : callable
        Returns every known target.
    """

    def __init__(
        self, region: str, mesh, targets: collections.abc.Callable[[], list]
    ):
        self.region = region
        self.mesh = mesh
        self.targets = targets

    def own(self) -> list[str]:
        """Return live routers of this region.

        A data centre without a known target counts as part of it: with one
        region this is right on every router, with several it only spreads
        shards more widely.
        """
        known = self._known()
        return [
            router
            for router in self.mesh.live()
            if known.get(self.mesh.data_centre_of(router), self.region)
            == self.region
        ]

    def others(self) -> list[list[str]]:
        """Return live routers of each other region."""
        known = self._known()
        found: dict[str, list[str]] = {}
        for router in self.mesh.live():
            region = known.get(self.mesh.data_centre_of(router), self.region)
            if region != self.region:
                found.setdefault(region, []).append(router)
        return [found[region] for region in sorted(found)]

    def _known(self) -> dict[str, str]:
        return {each.data_centre: each.region for each in self.targets()}
