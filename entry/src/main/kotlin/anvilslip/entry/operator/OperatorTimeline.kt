package anvilslip.entry.operator

import anvilslip.kernel.Event
import kotlinx.serialization.Serializable

/** Events of all instances in causal order, except the [missing] instances, which could not be reached. */
@Serializable
public data class OperatorTimeline(
    val events: List<Event>,
    val missing: List<String>,
)
