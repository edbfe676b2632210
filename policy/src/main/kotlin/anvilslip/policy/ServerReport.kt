@file:OptIn(ExperimentalSerializationApi::class)

package anvilslip.policy

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** What a backend server last said of itself. */
@Serializable
public data class ServerReport(
    @CborLabel(1) val id: String,
    @CborLabel(2) val service: String,
    /** `host:port` for requests and orders. */
    @CborLabel(3) val address: String,
    @CborLabel(4) val zone: String,
    @CborLabel(5) val phase: ServerPhase,
    /** When the process started, in milliseconds since the epoch; tells apart incarnations under one ID. */
    @CborLabel(6) @SerialName("bornMillis") val startedAtMillis: Long = 0,
    /** Grows with each report of one incarnation. */
    @CborLabel(7) val sequence: Long = 0,
    /** Requests it runs at once. */
    @CborLabel(8) val slots: Int = 1,
    /** Null for a server without models. */
    @CborLabel(9) val models: List<LoadedModel>? = null,
    /** Milliseconds until it ends whatever it still runs; null when not known. */
    @CborLabel(10) val remainingMillis: Long? = null,
) {
    /** True when this says the same as [other] but for its number and the adapters it can serve, which come and go all the time. */
    public fun hasSameState(other: ServerReport): Boolean = withoutAdapters() == other.withoutAdapters()

    private fun withoutAdapters() = copy(sequence = 0, models = models?.map { it.copy(adapters = emptyMap()) })

    /** True when this was said after [other] of the same ID. */
    public fun isNewerThan(other: ServerReport): Boolean = compareValuesBy(this, other, ServerReport::startedAtMillis, ServerReport::sequence) > 0
}
