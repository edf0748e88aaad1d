"""The balancing rules of one balancer, each as an object."""

from __future__ import annotations

from dataclasses import dataclass, field

from .concurrency_limit import ConcurrencyLimiter
from .connection_budget import ConnectionBudget
from .hot_keys import HotKeys
from .load_shedding import LoadShedder
from .origin_limit import OriginLimiter
from .outlier_detection import OutlierDetector
from .placement import Placement
from .retry_policy import RetryBudget
from .server_load import LoadEstimator
from .slow_start import SlowStart
from .zone_outliers import ZoneOutliers


@dataclass(eq=False, slots=True)
class Components:
    """The rules and state shared by the balancer, the server selector and the outcome recorder."""

    placement: Placement
    slow_start: SlowStart
    shedder: LoadShedder
    connections: ConnectionBudget
    load: LoadEstimator
    limiter: ConcurrencyLimiter = field(default_factory=ConcurrencyLimiter)
    origin_limiter: OriginLimiter = field(default_factory=OriginLimiter)
    outliers: OutlierDetector = field(default_factory=OutlierDetector)
    zone_outliers: ZoneOutliers = field(default_factory=ZoneOutliers)
    hot_keys: HotKeys = field(default_factory=HotKeys)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
