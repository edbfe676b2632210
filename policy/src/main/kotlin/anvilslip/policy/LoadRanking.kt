package anvilslip.policy

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Rendezvous hashing for loads without a leader: which engines load an adapter, and which entry instances order loads on an engine.
 * Instances with the same inputs get the same results, and the loss of a server or an instance moves only what it was chosen for.
 */
public object LoadRanking {
    /** Number of engines that load an adapter. */
    public const val HOME_ENGINES: Int = 2

    /** Number of entry instances that may order loads on an engine: its delegate, and one that takes over from it. */
    public const val DELEGATES: Int = 2

    /** The [HOME_ENGINES] of [adapter] of [model] among the ready engines in [servers] that serve [service] and hold the model. */
    public fun homeEngines(
        service: String,
        model: String,
        adapter: String,
        servers: List<ServerReport>,
    ): List<ServerReport> {
        val engines = servers.filter { it.service == service && it.phase == ServerPhase.READY && it.holds(model) }
        return engines.sortedWith(descendingScore("$model/$adapter") { it.id }).take(HOME_ENGINES)
    }

    /** The [DELEGATES] of engine [server] among the entry instances [hosts], in the order in which they are asked. */
    public fun delegates(
        server: String,
        hosts: Set<String>,
    ): List<String> = eligibleDelegates(hosts).sortedWith(descendingScore(server) { it }).take(DELEGATES)

    /** Those of [hosts] whose fencing tokens cannot be equal to those of another of them or of a leader. */
    public fun eligibleDelegates(hosts: Set<String>): List<String> {
        val bits = hosts.associateWith(FencingToken::holderBits)
        val count = bits.values.groupingBy { it }.eachCount()
        return hosts.filter { host -> bits[host].let { it != null && count[it] == 1 } }
    }

    private fun ServerReport.holds(model: String): Boolean = models.orEmpty().any { it.name == model }

    /** Orders items by descending score for [key], and by name if two scores are equal. */
    private fun <T> descendingScore(
        key: String,
        name: (T) -> String,
    ): Comparator<T> {
        val scores = HashMap<String, Long>()
        return compareByDescending<T> { item -> scores.getOrPut(name(item)) { score(key, name(item)) } }.thenBy(name)
    }

    private fun score(
        key: String,
        name: String,
    ): Long = ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest("$key\n$name".toByteArray())).getLong()
}
