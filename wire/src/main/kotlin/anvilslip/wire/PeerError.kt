package anvilslip.wire

/** Why a call to another instance failed. */
public sealed interface PeerError {
    /** There was no connection, so the message was not sent. */
    public data class Unreachable(
        val peer: String,
    ) : PeerError

    /** The build of the peer does not know the message, so it was not sent. */
    public data class Unsupported(
        val peer: String,
    ) : PeerError

    /** No answer arrived. The message may or may not have been handled. */
    public data class NoAnswer(
        val peer: String,
    ) : PeerError
}
