package anvilslip.wire

/** Decides when the connections of other instances are served. */
public fun interface PeerAdmission {
    /** Returns once the connection that [peer] has opened may be served. Its caller gives up after its own connect timeout. */
    public suspend fun await(peer: String)
}
