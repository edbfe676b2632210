package anvilslip.wire

import anvilslip.kernel.EventLogger

/** Logs messages of unknown kinds that arrive on one connection: the first as a warning, since many may follow, the others for debugging. */
internal class UnknownMessageLog(
    private val peer: String,
) {
    private val log = EventLogger("peer")
    private var isReported = false

    fun record(reason: String) {
        val fields = arrayOf("peer" to peer, "reason" to reason.lineSequence().first())
        if (isReported) log.debug(EVENT, *fields) else log.warn(EVENT, *fields)
        isReported = true
    }

    private companion object {
        const val EVENT = "peer_message_unknown"
    }
}
