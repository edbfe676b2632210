package anvilslip.policy

import kotlinx.serialization.Serializable

/** Lifecycle phase of a backend server. */
@Serializable
public enum class ServerPhase {
    READY,

    /** The server finishes its running requests and accepts no new ones. */
    DRAINING,

    /** The server has signed off. */
    GONE,
}
