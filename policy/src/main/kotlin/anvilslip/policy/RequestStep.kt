package anvilslip.policy

import kotlinx.serialization.Serializable

/** Progress of a request that was sent to a server. */
@Serializable
public enum class RequestStep {
    /** The answer has begun, so the prompt has been processed. */
    ANSWERING,

    /** The answer is complete, or the request was abandoned. */
    ENDED,

    /** The server did not run the request. */
    NOT_RUN,

    /** The server does not hold the adapter that it was expected to hold. */
    NOT_HELD,

    /** The server could not be reached. */
    UNREACHABLE,
}
