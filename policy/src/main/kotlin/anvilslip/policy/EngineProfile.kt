package anvilslip.policy

/** Capacity and models of the model engines of a service. */
public data class EngineProfile(
    /** Maximum number of requests in one batch. */
    val slots: Int,
    /** KV cache size in tokens, shared by running requests and cached prefixes. */
    val kvCapacity: Int,
    val models: List<ModelProfile>,
    /** Memory for base model weights and adapters, in MB. */
    val weightsMb: Double,
    /** Maximum number of adapters loaded on one server. */
    val adapterSlots: Int,
    /** Maximum number of loads from the weight store started per second, over all servers. */
    val loadsPerSecond: Double,
) {
    /**
     * Number of adapters that an engine holds beside the base models [held]: at most its slots, and what fits into its memory if all are as
     * large as the largest of these models' adapters.
     */
    public fun adapterCapacity(held: Set<String>): Int {
        val present = models.filter { it.name in held }
        val largestMb = present.maxOfOrNull { it.adapterMb } ?: 0.0
        if (largestMb <= 0) return adapterSlots
        val freeMb = weightsMb - present.sumOf { it.weightsMb }
        return minOf(adapterSlots, (freeMb / largestMb + ROUNDING).toInt()).coerceAtLeast(0)
    }

    private companion object {
        /** Share of an adapter that is lost to rounding when sizes are given as decimal fractions. */
        const val ROUNDING = 1e-6
    }
}
