package anvilslip.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A request that was running on one or more servers when they crashed.
 *
 * @property crashes server and incarnation of each crash
 */
@Serializable
public data class Suspect(
    val fingerprint: String,
    val workspace: String,
    val adapter: String,
    val crashes: Set<String>,
    @SerialName("lastMillis")
    val lastCrashMillis: Long,
) {
    /** True if the request is rejected, because too many servers crashed while they ran it. */
    public val quarantined: Boolean get() = crashes.size >= QUARANTINE_CRASHES

    private companion object {
        const val QUARANTINE_CRASHES = 2
    }
}
