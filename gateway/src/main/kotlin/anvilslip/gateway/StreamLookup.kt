package anvilslip.gateway

import anvilslip.kernel.Clock
import anvilslip.policy.StreamOrigin
import anvilslip.state.ReplicaView
import anvilslip.wire.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Answers, on the leader, where a stream began. What no entry instance has reported is known only if, for as long as a client may resume
 * a stream, a single software version has served: then that one began it.
 */
public class StreamLookup(
    private val streams: StreamRegistry,
    private val clusterView: ClusterView,
    private val replicaView: () -> ReplicaView,
    private val clock: Clock,
    /** Time at which this instance was elected in the current term; null if it has only just been. */
    private val electedAt: () -> Duration?,
) {
    private val startedAt = clock.elapsed()

    /** Answers [message] if this instance leads. */
    public fun find(message: PeerMessage.FindStream): PeerMessage {
        val now = clock.elapsed()
        val view = replicaView()
        if (!view.isLeading(now)) return PeerMessage.NotLeader(view.leader?.instance)
        message.attemptId?.let(streams::find)?.let { return PeerMessage.FindStreamReply(it) }
        // Reports of streams to a new leader may still be under way.
        if (now - (electedAt() ?: now) < REPORT_TIME) return PeerMessage.FindStreamReply(mayBeReported = true)
        return PeerMessage.FindStreamReply(onlyOrigin(message, now))
    }

    /** The only origin that a stream can have which clients may still resume, or null if there may be several. */
    private fun onlyOrigin(
        message: PeerMessage.FindStream,
        now: Duration,
    ): StreamOrigin? {
        val service = message.services.singleOrNull() ?: return null
        val period = message.lifetimeMillis.milliseconds + SERVING_AFTER_REPORT
        if (now - startedAt < period) return null
        return clusterView.softwareVersions(service, period).singleOrNull()?.let { StreamOrigin(service, it) }
    }

    private companion object {
        /** Time that entry instances have to report streams to a new leader. */
        val REPORT_TIME = 1.seconds

        /** Longest time for which a server is sent new streams after its last report. */
        val SERVING_AFTER_REPORT = 10.seconds
    }
}
