package anvilslip.wire

import anvilslip.state.Replica

/** Passes [message] from instance [from] to this replica. Drops it if it names another sender or is addressed to another replica. */
public fun Replica.receive(
    from: String,
    message: PeerMessage.Replica,
) {
    val isAddressee = message.to == view.id || message.to.storage.isEmpty()
    if (message.from.instance == from && isAddressee) receive(message.from, message.message)
}
