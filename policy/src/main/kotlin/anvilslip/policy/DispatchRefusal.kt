package anvilslip.policy

import kotlinx.serialization.Serializable

/** Why a request gets no server. */
@Serializable
public enum class DispatchRefusal {
    /** Its workspace has used up its rate and burst. */
    OVER_LIMIT,

    /** No server of the service is up. */
    NO_SERVER,

    /** All servers are so busy that the answer would come too late. */
    BUSY,

    /** The adapter cannot be loaded in time. */
    LOADING,
}
