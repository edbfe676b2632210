package anvilslip.gateway

/** What the head of a backend server's answer says. */
public enum class ServerVerdict {
    /** An answer to the request. */
    ANSWER,

    /** The request was not run, since the server is full or late. */
    NOT_RUN,

    /** The request was not run, since the server or what it holds is not what was expected. */
    NOT_HELD,

    /** The answer belongs to another request, or was not made by the server. */
    FOREIGN,
}
