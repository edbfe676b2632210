package anvilslip.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a newer configuration document is answered to a [PeerMessage.Watch]. */
@Serializable
public enum class DocumentDelivery {
    /** Whole and uncompressed, as instances expect that do not state a delivery. */
    @SerialName("plain")
    PLAIN,

    /** Whole and compressed. */
    @SerialName("compressed")
    COMPRESSED,

    /** Only its version. */
    @SerialName("announced")
    ANNOUNCED,
}
