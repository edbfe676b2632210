package anvilslip.wire

/** Why a frame could not be decoded. */
internal sealed interface FrameError {
    val reason: String

    /** The frame is not one of this protocol. */
    data class Malformed(
        override val reason: String,
    ) : FrameError

    /** The frame carries a message that this build does not know, as builds of another version may send. */
    data class UnknownMessage(
        val header: FrameHeader,
        override val reason: String,
    ) : FrameError {
        /** What the sender of the message is answered, or what its answer counts as. */
        fun toFailure(): PeerMessage.Failed = PeerMessage.Failed("unknown message: $reason")
    }
}
