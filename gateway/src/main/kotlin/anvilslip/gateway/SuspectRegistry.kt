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

    /** True if a server has crashed under a request with one of [keys] and none with that key was served since. */
    public fun isSuspect(keys: List<String>): Boolean = synchronized(table) { keys.any(table::isSuspect) }

    /** The first of [keys] with which requests must not be sent to servers, or null if there is none. */
    public fun quarantinedKey(keys: List<String>): String? = synchronized(table) { keys.firstOrNull(table::isQuarantined) }

    /** The crashes that count against each key with which requests must not be sent to servers. */
    public fun quarantines(): Map<String, Set<String>> = synchronized(table) { table.quarantines() }

    /** Records that [server] crashed while it ran a request with [keys]. */
    public fun recordCrash(
        keys: List<String>,
        server: String,
    ): Unit = update(keys) { for (key in keys) table.recordCrash(key, server, clock.elapsed()) }

    /** Records that a request with [keys] was served, which clears them. */
    public fun recordServed(keys: List<String>): Unit = update(keys) { for (key in keys) table.recordServed(key, clock.elapsed()) }

    /** Records that a request with the quarantined [key] came again. */
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
