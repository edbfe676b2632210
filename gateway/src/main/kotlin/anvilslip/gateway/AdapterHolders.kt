package anvilslip.gateway

import anvilslip.kernel.LruMap
import anvilslip.state.AdapterName

/** Servers that have recently served an adapter, bounded per adapter and in all. Not thread-safe. */
internal class AdapterHolders {
    private val holders = LruMap<AdapterName, LinkedHashSet<String>>(MAX_ADAPTERS)

    /** Returns the servers known to hold [adapter]. */
    operator fun get(adapter: AdapterName): Set<String> = holders[adapter].orEmpty()

    /** Records that [server] holds [adapter]; the server recorded least recently is dropped beyond the bound. */
    fun record(
        server: String,
        adapter: AdapterName,
    ) {
        val servers = holders.getOrPut(adapter) { LinkedHashSet() }
        servers.remove(server)
        servers += server
        if (servers.size > MAX_HOLDERS) servers.remove(servers.first())
    }

    /** Records that [server] does not hold [adapter]. */
    fun remove(
        server: String,
        adapter: AdapterName,
    ) {
        holders[adapter]?.remove(server)
    }

    private companion object {
        const val MAX_ADAPTERS = 512

        /** Busy adapters have more copies, but two candidates are enough for a choice. */
        const val MAX_HOLDERS = 4
    }
}
