package anvilslip.control

import anvilslip.policy.Announcement
import anvilslip.policy.Order

/** Sends load orders to backend servers. */
public interface AdapterLoader {
    /**
     * Sends [order] to [server] and waits for the result.
     *
     * @param fencingToken increases with each leader, so that a server can reject orders of a previous leader
     * @return true if the adapter is now loaded
     */
    public suspend fun load(
        server: Announcement,
        order: Order.Load,
        fencingToken: Long,
    ): Boolean
}
