package anvilslip.policy

/** Effects of a call to [PlacementPolicy], to be carried out by the caller. */
public data class PlacementOutput(
    val answers: List<Answer> = emptyList(),
    val orders: List<Order.Load> = emptyList(),
    val lostServers: List<String> = emptyList(),
) {
    /** The decision on a request. */
    public data class Answer(
        val request: PlacementRequest,
        val decision: PlacementDecision,
    )
}
