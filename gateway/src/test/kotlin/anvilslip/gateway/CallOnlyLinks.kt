package anvilslip.gateway

import anvilslip.wire.PeerAddress
import anvilslip.wire.PeerLinks
import anvilslip.wire.PeerMessage

/** Links over which a test answers calls; connections are not opened, and messages without an answer are dropped. */
internal interface CallOnlyLinks : PeerLinks {
    override fun connectTo(
        peer: String,
        address: PeerAddress,
    ): Unit = Unit

    override fun disconnect(peer: String): Unit = Unit

    override fun send(
        peer: String,
        message: PeerMessage,
    ): Unit = Unit
}
