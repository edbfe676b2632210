package anvilslip.control

import anvilslip.policy.Announcement
import anvilslip.policy.Order

/** Gives orders to backend servers in their dialect. */
public interface AdapterLoader {
    /**
     * Has [server] carry out [order]; [fencingToken] grows with each leader.
     *
     * @return true when the adapter is loaded now
     */
    public suspend fun load(
        server: Announcement,
        order: Order.Load,
        fencingToken: Long,
    ): Boolean
}
