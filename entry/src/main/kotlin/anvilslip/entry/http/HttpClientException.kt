package anvilslip.entry.http

/** Failure of an exchange with a backend server. */
public sealed class HttpClientException(
    message: String,
    cause: Throwable? = null,
) : java.io.IOException(message, cause) {
    /** No byte of the request was sent. */
    public class NotSent(
        message: String,
        cause: Throwable? = null,
    ) : HttpClientException(message, cause)

    /** The connection was closed, the response was invalid, or the read timed out ([timedOut]) after bytes may have been sent. */
    public class IncompleteResponse(
        message: String,
        public val timedOut: Boolean,
        cause: Throwable? = null,
    ) : HttpClientException(message, cause)
}
