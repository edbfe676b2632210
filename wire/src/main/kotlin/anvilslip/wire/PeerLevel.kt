package anvilslip.wire

/**
 * What a build does with messages that it does not know. Each frame states the level of its sender, so that nothing is sent to a build that
 * closes the connection because of it.
 */
internal object PeerLevel {
    /** Builds that state no level close a connection on which an unknown message arrives. */
    const val CLOSES_ON_UNKNOWN = 0

    /** Unknown messages are answered with [PeerMessage.Failed], or skipped where no answer is expected. */
    const val ANSWERS_UNKNOWN = 1

    /** Level of this build. */
    const val CURRENT = ANSWERS_UNKNOWN
}
