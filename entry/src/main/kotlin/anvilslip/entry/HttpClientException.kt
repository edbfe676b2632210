package anvilslip.entry

/** Why an exchange with a backend server failed. */
public sealed class HttpClientException(
    message: String,
    cause: Throwable? = null,
) : java.io.IOException(message, cause) {
    /** No byte was sent. */
    public class NotSent(
        message: String,
        cause: Throwable? = null,
    ) : HttpClientException(message, cause)

    /** The connection ended or went silent after bytes may have been sent. [timedOut] tells a timeout from a closed connection. */
    public class IncompleteResponse(
        message: String,
        public val timedOut: Boolean,
        cause: Throwable? = null,
    ) : HttpClientException(message, cause)
}
