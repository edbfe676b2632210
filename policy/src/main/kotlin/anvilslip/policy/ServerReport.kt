@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** State that a backend server reports in its heartbeats. */
@Serializable
public data class ServerReport(
    @CborLabel(1) val id: String,
    @CborLabel(2) val service: String,
    /** `host:port` for requests and orders. */
    @CborLabel(3) val address: String,
    @CborLabel(4) val zone: String,
    @CborLabel(5) val phase: ServerPhase,
    /** Start of the process in milliseconds since the epoch; distinguishes incarnations with the same ID. */
    @CborLabel(6) @SerialName("bornMillis") val startedAtMillis: Long = 0,
    /** Increases with each report of one incarnation. */
    @CborLabel(7) val sequence: Long = 0,
    /** Maximum number of concurrent requests. */
    @CborLabel(8) val slots: Int = 1,
    /** Loaded base models; null for a plain service. */
    @CborLabel(9) val models: List<LoadedModel>? = null,
    /** Time in milliseconds until its running requests end; null if it is not known. */
    @CborLabel(10) val remainingMillis: Long? = null,
    /** Time in milliseconds for which the server stays cold and tolerates only few requests; 0 if it is warm. */
    @CborLabel(11) val coldMillis: Long = 0,
    /** Version of the server's software; empty if it states none. Texts that different versions generate do not fit together. */
    @CborLabel(12) val softwareVersion: String = "",
) {
    /** The process that sent the report. */
    public val incarnation: ServerIncarnation get() = ServerIncarnation(id, startedAtMillis)

    /**
     * True if the reports differ at most in their sequence numbers, in their adapters, which change frequently, and in how long a cold
     * server stays cold.
     */
    public fun hasSameState(other: ServerReport): Boolean = withoutAdapters() == other.withoutAdapters()

    private fun withoutAdapters() =
        copy(sequence = 0, coldMillis = coldMillis.coerceAtMost(1), models = models?.map { it.copy(adapters = emptyMap()) })

    /** True if this report was made after [other] with the same ID. */
    public fun isNewerThan(other: ServerReport): Boolean =
        compareValuesBy(this, other, ServerReport::startedAtMillis, ServerReport::sequence) > 0
}
