package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.kernel.EventLogger
import anvilslip.policy.SuspectReport
import anvilslip.policy.SuspectTable
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first

/** The [SuspectTable] of this instance, shared by its threads. Calls [onChange] when there is something to tell other instances. */
public class SuspectRegistry(
    private val clock: Clock,
    private val onChange: () -> Unit,
) {
    /** Reports of suspects that changed, up to [revision]. */
    public data class Update(
        val reports: List<SuspectReport>,
        val revision: Long,
    )

    private val log = EventLogger("suspects")
    private val table = SuspectTable()
    private val revisionFlow = MutableStateFlow(0L)

    /** Increases with each change. */
    public val revision: Long get() = revisionFlow.value

    /** True if a server has crashed under a request with [key] and none was served since. */
    public fun isSuspect(key: String): Boolean = synchronized(table) { table.isSuspect(key) }

    /** True if requests with [key] must not be sent to servers. */
    public fun isQuarantined(key: String): Boolean = synchronized(table) { table.isQuarantined(key) }

    /** Records that [server] crashed while it ran a request with [key]. */
    public fun recordCrash(
        key: String,
        server: String,
    ): Unit = update(listOf(key)) { table.recordCrash(key, server, clock.elapsed()) }

    /** Records that a request with [key] was served, which clears it. */
    public fun recordServed(key: String): Unit = update(listOf(key)) { table.recordServed(key, clock.elapsed()) }

    /** Records that a quarantined request with [key] came again. */
    public fun recordSeen(key: String): Unit = update(listOf(key)) { table.recordSeen(key, clock.elapsed()) }

    /** Adds what another instance reports. */
    public fun merge(reports: List<SuspectReport>) {
        if (reports.isEmpty()) return
        update(reports.map { it.key }) { reports.forEach { table.merge(it, clock.elapsed()) } }
    }

    /** Returns the changes after [since]; with [localOnly], only those made by this instance. */
    public fun changesSince(
        since: Long,
        localOnly: Boolean = false,
    ): Update = synchronized(table) { Update(table.changesSince(since, localOnly, clock.elapsed()), table.revision) }

    /** Waits until [revision] exceeds [seen]. */
    public suspend fun awaitChange(seen: Long) {
        revisionFlow.first { it > seen }
    }

    private fun update(
        keys: List<String>,
        change: () -> Unit,
    ) {
        synchronized(table) {
            val before = keys.associateWith(table::crashes)
            change()
            if (table.revision == revisionFlow.value) return
            before.forEach { (key, crashes) -> logChange(key, crashes) }
            revisionFlow.value = table.revision
        }
        onChange()
    }

    private fun logChange(
        key: String,
        before: Set<String>,
    ) {
        val crashes = table.crashes(key)
        when {
            crashes == before -> return
            crashes.isEmpty() -> log.info("suspect_cleared", "key" to key)
            table.isQuarantined(key) -> log.info("suspect_quarantined", "key" to key, "crashes" to crashes.joinToString(","))
            else -> log.info("suspect_changed", "key" to key, "crashes" to crashes.joinToString(","))
        }
    }
}
