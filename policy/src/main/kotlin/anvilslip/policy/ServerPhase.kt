package anvilslip.policy

import kotlinx.serialization.Serializable

/** Where a backend server is in its life. */
@Serializable
public enum class ServerPhase {
    READY,

    /** It finishes its work and takes no more. */
    DRAINING,

    /** It has signed off. */
    GONE,
}
