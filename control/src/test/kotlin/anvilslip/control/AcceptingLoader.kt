package anvilslip.control

import anvilslip.policy.Announcement
import anvilslip.policy.Order

/** Loader whose loads all succeed at once. */
internal object AcceptingLoader : AdapterLoader {
    override suspend fun load(
        server: Announcement,
        order: Order.Load,
        fencingToken: Long,
    ): Boolean = true
}
