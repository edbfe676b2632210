package anvilslip.policy

import kotlinx.serialization.Serializable

/** Reason why a [PlacementRequest] was refused. */
@Serializable
public enum class RefusalReason {
    /** No server runs the model. */
    NO_SERVER,

    /** The expected wait exceeds the deadline of the request. */
    OVERLOADED,

    /** The adapter could not be loaded in time. */
    LOAD_TOO_SLOW,

    /** The adapter could not be loaded. */
    LOAD_FAILED,

    /** The leader was elected recently and may not know all servers yet. */
    STARTING,
}
