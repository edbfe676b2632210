package anvilslip.policy

import kotlin.time.Duration

/** Size and load time of a base model, and the size of its adapters. */
public data class ModelProfile(
    val name: String,
    val weightsMb: Double,
    val loadTime: Duration,
    val adapterMb: Double,
)
