package anvilslip.policy

/** What an engine answers when asked for its state. */
public data class EngineInventory(
    /** Orders it has taken since its start. */
    val orders: Long,
    val models: List<LoadedModel>,
    /** Adapters on their way to it, by model. */
    val pending: Map<String, Set<String>> = emptyMap(),
)
