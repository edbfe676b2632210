package anvilslip.policy

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Result of a [PlacementRequest]. */
@Serializable
public sealed interface PlacementDecision {
    /** Use [server]. The adapter stays loaded there as long as use lease number [lease] is renewed. */
    @Serializable
    @SerialName("placed")
    public data class Placed(
        val server: String,
        val lease: Long,
        val stalledMillis: Long = 0,
    ) : PlacementDecision

    /** Not placed; retry after [retryAfterMillis]. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        val reason: RefusalReason,
        val retryAfterMillis: Long,
    ) : PlacementDecision
}
