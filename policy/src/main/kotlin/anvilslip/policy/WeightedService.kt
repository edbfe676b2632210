package anvilslip.policy

/** A service that takes a share of a route's requests. */
public data class WeightedService(
    val service: String,
    val weight: Double,
)
