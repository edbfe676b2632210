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
    public open class IncompleteResponse(
        message: String,
        public val timedOut: Boolean,
        cause: Throwable? = null,
    ) : HttpClientException(message, cause)

    /** The response was given up because this process cannot keep it. The request may have run. */
    public class NotKept(
        message: String,
        public val reason: Reason,
    ) : IncompleteResponse(message, false) {
        /** Why a response cannot be kept. */
        public enum class Reason {
            /** Its head states a length that is too large. */
            TOO_LARGE,

            /** It has no stated length and went on beyond what is kept. */
            TOO_LONG,

            /** The responses of servers take all memory, and its length is stated. */
            NO_ROOM,

            /** The responses of servers take all memory, and it has no stated length. */
            NO_ROOM_NO_LENGTH,
        }
    }
}
