"""Maps data centres to regions.

The mapping is taken from targets: routers announce only their data centre,
targets announce their region as well.
"""

import collections.abc


class Regions:
    """Groups the live routers by region.

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

        A data centre without a known target counts as part of this region.
        With one region this is correct on every router; with several it only
        spreads shards over more routers.
        """
        regions = self._region_by_data_centre()
        return [
            router
            for router in self.mesh.live()
            if regions.get(self.mesh.data_centre_of(router), self.region)
            == self.region
        ]

    def others(self) -> list[list[str]]:
        """Return live routers of each other region."""
        regions = self._region_by_data_centre()
        by_region: dict[str, list[str]] = {}
        for router in self.mesh.live():
            region = regions.get(self.mesh.data_centre_of(router), self.region)
            if region != self.region:
                by_region.setdefault(region, []).append(router)
        return [by_region[region] for region in sorted(by_region)]

    def _region_by_data_centre(self) -> dict[str, str]:
        return {target.data_centre: target.region for target in self.targets()}
