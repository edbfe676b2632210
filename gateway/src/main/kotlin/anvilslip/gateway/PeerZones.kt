package anvilslip.gateway

import anvilslip.kernel.LruMap

/** Availability zones of the other instances, as far as they have been reported. Thread-safe. */
public class PeerZones {
    private val zones = LruMap<String, String>(MAX_PEERS)

    /** Returns the zone of the instance on [host], or null if it is not known. */
    @Synchronized
    public operator fun get(host: String): String? = zones[host]

    /** Records that the instance on [host] is in [zone]. */
    @Synchronized
    public fun record(
        host: String,
        zone: String,
    ) {
        zones[host] = zone
    }

    private companion object {
        /** Bounds memory; the least recently used entries are evicted. */
        const val MAX_PEERS = 1024
    }
}
