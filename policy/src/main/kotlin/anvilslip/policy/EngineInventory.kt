package anvilslip.policy

/** State that an engine returns when it is queried. */
public data class EngineInventory(
    /** Number of orders accepted since its start. */
    val orders: Long,
    val models: List<LoadedModel>,
    /** Adapters that are being loaded, by model. */
    val pending: Map<String, Set<String>> = emptyMap(),
)
