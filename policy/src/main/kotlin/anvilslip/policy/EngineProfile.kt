package anvilslip.policy

/** What the model engines of a service hold and load. */
public data class EngineProfile(
    /** Requests in one batch. */
    val slots: Int,
    /** Tokens that running requests and cached prefixes share. */
    val kvCapacity: Int,
    val models: List<ModelProfile>,
    /** Room for weights and adapters, in MB. */
    val weightsMb: Double,
    /** Adapters that one server holds at once. */
    val adapterSlots: Int,
    /** Loads from the weight store that may begin each second, over all servers. */
    val loadsPerSecond: Double,
)
