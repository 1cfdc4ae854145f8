"""A permission to send orders that a test can withdraw."""

from zinniatrestle.workers.interfaces import OrderPermission


class Permission(OrderPermission):
    """A permission for all generations, until `is_given` is cleared."""

    def __init__(self):
        self.is_given = True

    def permits_orders(self, generation) -> bool:
        return self.is_given

    def permits_holds(self, generation) -> bool:
        return self.is_given
