package anvilslip.settings

/** Limits on adapter loads from the weight store, for all backend servers together. */
public data class WeightStoreSettings(
    val loadsPerSecond: Double = 2.0,
    val maxLoadsInFlight: Int = 8,
)
