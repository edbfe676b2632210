package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The limits of backend servers that entry instances have reported to the leader. Not thread-safe.
 *
 * @param hasPredecessor true if another leader may have been told of limits before [startedAt] that this one has yet to hear of
 */
internal class ReportedLimits(
    startedAt: Duration,
    hasPredecessor: Boolean,
) {
    /** Time from which the limits are complete enough to be used. */
    val completeAt = if (hasPredecessor) startedAt + REPORT_TIME else startedAt
    private val servers = HashMap<ServerIncarnation, LimitEvidence>()
    private var lastSequence = 0L

    val hasLimits: Boolean get() = servers.isNotEmpty()

    /** Records a statement; [issuedAt] is the sequence number of the decision by which its request was sent, 0 if it is not known. */
    fun record(
        statement: LimitStatement,
        issuedAt: Long,
    ) {
        val evidence = servers[statement.incarnation] ?: if (statement.limit == null) return else LimitEvidence()
        evidence.add(statement, issuedAt, ++lastSequence)
        if (evidence.limit == null) servers -= statement.incarnation else servers[statement.incarnation] = evidence
    }

    /** The limit of [server] in requests per second; null if none is known. */
    fun limitOf(server: ServerReport): Double? = if (servers.isEmpty()) null else servers[server.incarnation]?.limit

    /** True if [server] has named its limit in the answer to a request that this leader granted with knowledge of the limit. */
    fun isConfirmed(server: ServerReport): Boolean = servers[server.incarnation]?.hasOrderedStatement == true

    /** Sequence number of a decision to send a request to [server]; null if the server is not limited. */
    fun nextGrant(server: ServerReport): Long? = if (limitOf(server) == null) null else ++lastSequence

    /** Forgets the limits of servers that are not in [reports]. */
    fun retain(reports: List<ServerReport>) {
        if (servers.isNotEmpty()) servers.keys.retainAll(reports.map { it.incarnation }.toSet())
    }

    private companion object {
        /** Time in which entry instances that send requests tell a new leader all that they know; some may know only an earlier limit. */
        val REPORT_TIME = 1.seconds
    }
}
