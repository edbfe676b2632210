package anvilslip.gateway

/** Classification of a backend server's response by its status and headers. */
public enum class ServerVerdict {
    /** The response of the server to this request. */
    ANSWER,

    /** The server did not run the request because it is overloaded or the deadline was too close. */
    NOT_RUN,

    /** The server did not run the request because it is not the expected server or does not hold the expected adapter version. */
    NOT_HELD,

    /** The response was not created by the server. */
    FOREIGN,
}
