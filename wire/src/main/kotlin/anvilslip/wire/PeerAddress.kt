package anvilslip.wire

/** Address at which an instance accepts connections from other instances. */
public data class PeerAddress(
    val host: String,
    val port: Int,
)
