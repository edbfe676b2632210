package anvilslip.entry.operator

import kotlinx.serialization.Serializable

/** Releases the request with this fingerprint from quarantine. */
@Serializable
public data class OperatorPardon(
    val fingerprint: String,
)
