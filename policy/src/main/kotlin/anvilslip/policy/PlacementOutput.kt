package anvilslip.policy

/** What a step of [Placement] asks for. */
public data class PlacementOutput(
    val answers: List<Answer> = emptyList(),
    val orders: List<Order.Load> = emptyList(),
    val lostServers: List<String> = emptyList(),
) {
    /** A decision on a demand. */
    public data class Answer(
        val request: PlacementRequest,
        val decision: PlacementDecision,
    )
}
