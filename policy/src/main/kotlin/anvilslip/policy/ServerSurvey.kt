package anvilslip.policy

/** What an engine answers when asked for its state. */
public data class ServerSurvey(
    /** Orders it has taken since its start. */
    val orders: Long,
    val models: List<HeldModel>,
    /** Adapters on their way to it, by model. */
    val pending: Map<String, Set<String>> = emptyMap(),
)
