package anvilslip.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A request that was running on servers when they crashed; [crashes] names each server and its incarnation. */
@Serializable
public data class Suspect(
    val fingerprint: String,
    val workspace: String,
    val adapter: String,
    val crashes: Set<String>,
    @SerialName("lastMillis")
    val lastCrashMillis: Long,
) {
    /** True when so many servers crashed under it that it is not run any more. */
    public val quarantined: Boolean get() = crashes.size >= QUARANTINE_CRASHES

    private companion object {
        const val QUARANTINE_CRASHES = 2
    }
}
