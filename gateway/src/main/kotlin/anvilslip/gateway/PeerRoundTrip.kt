package anvilslip.gateway

import anvilslip.wire.PeerFormat
import anvilslip.wire.PeerMessage
import kotlinx.serialization.ExperimentalSerializationApi

/** Encodes [message] as for a peer, and decodes it again. */
@OptIn(ExperimentalSerializationApi::class)
internal fun roundTrip(message: PeerMessage): PeerMessage {
    val bytes = PeerFormat.cbor.encodeToByteArray(PeerMessage.serializer(), message)
    return PeerFormat.cbor.decodeFromByteArray(PeerMessage.serializer(), bytes)
}
