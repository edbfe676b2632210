package anvilslip.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Binary format of the messages between instances. */
@OptIn(ExperimentalSerializationApi::class)
public object PeerFormat {
    /** Encodes and decodes messages; unknown fields are ignored, so that instances of different versions understand each other. */
    public val cbor: Cbor =
        Cbor {
            ignoreUnknownKeys = true
            encodeDefaults = false
            preferCborLabelsOverNames = true
        }
}
