package anvilslip.gateway

/** Availability zones of the other instances, as far as they have been reported. Thread-safe. */
public class PeerZones {
    private val zones =
        object : LinkedHashMap<String, String>(INITIAL_SIZE, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, String>): Boolean = size > MAX_PEERS
        }

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
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f

        /** Several times the instances of the largest deployment; hosts of machines that were replaced are dropped beyond that. */
        const val MAX_PEERS = 1024
    }
}
