"""Load, unload and role orders to model engines, sent by one lease holder per zone."""

from chivesaddle.orders.desired import ServerProvisioning, desired_state
from chivesaddle.orders.reconciler import Phase, ServerReconciler
from chivesaddle.orders.task import HeldLease, OrderClient, OrdersTask

__all__ = [
    "HeldLease",
    "OrderClient",
    "OrdersTask",
    "Phase",
    "ServerProvisioning",
    "ServerReconciler",
    "desired_state",
]
