package anvilslip.policy

/** A service that receives a share of the requests of a route. */
public data class WeightedService(
    val service: String,
    val weight: Double,
)
