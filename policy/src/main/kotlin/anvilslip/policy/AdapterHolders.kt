package anvilslip.policy

import kotlin.time.Duration

/** Index of the model engines by the adapter versions that they hold. */
internal class AdapterHolders {
    private val servers = HashMap<AdapterVersion, LinkedHashSet<ServerState>>()

    /** Servers that hold [adapter], in the order in which they loaded it. */
    fun of(adapter: AdapterVersion): Set<ServerState> = servers[adapter].orEmpty()

    fun add(
        server: ServerState,
        adapter: AdapterVersion,
        now: Duration,
    ) {
        server.loadedSince[adapter] = now
        servers.getOrPut(adapter) { LinkedHashSet() } += server
    }

    fun remove(
        server: ServerState,
        adapter: AdapterVersion,
    ) {
        server.loadedSince -= adapter
        val set = servers[adapter] ?: return
        set -= server
        if (set.isEmpty()) servers -= adapter
    }
}
