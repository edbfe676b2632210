package anvilslip.policy

import kotlinx.serialization.Serializable

/** Reason why a [DispatchRequest] was refused. */
@Serializable
public enum class DispatchRefusal {
    /** The workspace has exceeded its rate and burst. */
    OVER_LIMIT,

    /** No server of the service is up. */
    NO_SERVER,

    /** All servers are too busy to answer within the target. */
    BUSY,

    /** The model or adapter is not loaded and cannot be loaded in time. */
    LOADING,

    /** All servers of the service are in availability zones under evacuation. */
    EVACUATED,

    /** All servers that could serve the request have named a limit and have got what it allows for now. */
    LIMITED,

    /** The request resumes a stream, and no server runs the software version that began it. */
    VERSION_GONE,
}
