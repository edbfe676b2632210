package anvilslip.gateway

/** Opens and closes connections to other instances that are needed only at times. */
public interface PeerConnections {
    /** Opens a connection to [peer] and keeps it open. Does nothing if there is one already. */
    public fun connect(peer: String)

    /** Closes the connection to [peer], if there is one. */
    public fun disconnect(peer: String)
}
