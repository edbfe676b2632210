package anvilslip.entry.operator

import kotlinx.serialization.Serializable

/** Confirms an accepted change; [revision] is the revision of the configuration that includes it. */
@Serializable
public data class OperatorAccepted(
    val revision: Long,
)
