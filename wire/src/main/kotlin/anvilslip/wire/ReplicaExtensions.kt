package anvilslip.wire

import anvilslip.state.Replica

/** Hands [message] of instance [from] to this replica; dropped when it names another sender or another replica. */
public fun Replica.receive(
    from: String,
    message: PeerMessage.Replica,
) {
    val isMeant = message.to == view.id || message.to.storage.isEmpty()
    if (message.from.instance == from && isMeant) receive(message.from, message.message)
}
