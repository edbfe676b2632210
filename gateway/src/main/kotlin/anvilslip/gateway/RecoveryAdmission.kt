package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.state.Replica
import anvilslip.wire.PeerAdmission
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Serves the connections of the other control instances first after a start. All instances reconnect at once when the power returns, and the
 * election of a leader, which they all wait for, must not queue behind their handshakes and first polls.
 */
internal class RecoveryAdmission(
    private val replica: Replica,
    private val seeds: Set<String>,
    private val clock: Clock,
) : PeerAdmission {
    override suspend fun await(peer: String) {
        if (peer in seeds) return
        val openedAt = replica.awaitOpen()
        if (replica.view.voters.any { it.instance == peer }) return
        withTimeoutOrNull(MAX_HOLD - (clock.elapsed() - openedAt)) { replica.awaitCurrent() }
    }

    private companion object {
        /** Three election timeouts. Without a quorum the other instances are served all the same, since they need to know the servers. */
        val MAX_HOLD: Duration = 1800.milliseconds
    }
}
