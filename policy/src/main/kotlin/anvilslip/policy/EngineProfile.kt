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
)
