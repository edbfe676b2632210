package anvilslip.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * The limits that backend servers have named in their answers to this entry instance, and what of them the leader has been told.
 * Bounds nothing itself. Thread-safe; costs one read of a field while no server names a limit.
 */
public class ServerLimits {
    private class Known(
        val startedAtMillis: Long,
    ) {
        val evidence = LimitEvidence()
        var learnedAt = Duration.ZERO
    }

    private val servers = HashMap<String, Known>()
    private var lastNumber = 0L
    private var reportedTerm: Long? = null
    private var reportedNumber = 0L

    @Volatile
    private var isEmpty = true

    /**
     * Records the [limit] in requests per second that an answer of [incarnation] names, or null if it names none.
     *
     * @param grant the leader's decision by which the request was sent, if it was taken with knowledge of a limit
     * @return true if the limit that counts has changed
     */
    public fun record(
        incarnation: ServerIncarnation,
        limit: Double?,
        grant: LimitGrant?,
        sentAt: Duration,
        receivedAt: Duration,
    ): Boolean = if (isEmpty && limit == null && grant == null) false else recordStatement(incarnation, limit, grant, sentAt, receivedAt)

    @Synchronized
    private fun recordStatement(
        incarnation: ServerIncarnation,
        limit: Double?,
        grant: LimitGrant?,
        sentAt: Duration,
        receivedAt: Duration,
    ): Boolean {
        var known = servers[incarnation.server]
        if (known != null && known.startedAtMillis > incarnation.startedAtMillis) return false
        if (known == null || known.startedAtMillis < incarnation.startedAtMillis) {
            if (limit == null && grant == null) return false
            known = Known(incarnation.startedAtMillis)
            servers[incarnation.server] = known
        }
        val before = known.evidence.limit
        val statement = LimitStatement(incarnation.server, incarnation.startedAtMillis, limit, grant, ++lastNumber)
        known.evidence.add(statement, sentAt.inWholeMicroseconds, receivedAt.inWholeMicroseconds)
        known.learnedAt = receivedAt
        isEmpty = false
        if (servers.size > MAX_SERVERS) servers.values.removeAll { receivedAt - it.learnedAt > RETENTION }
        return known.evidence.limit != before
    }

    /** The limit of [incarnation] in requests per second; null if none is known. */
    public fun limitOf(incarnation: ServerIncarnation): Double? = if (isEmpty) null else find(incarnation)?.evidence?.limit

    /** True if [incarnation] is limited and has said so, or said so again, after [time]. */
    public fun isLimitedSince(
        incarnation: ServerIncarnation,
        time: Duration,
    ): Boolean = !isEmpty && find(incarnation)?.let { it.evidence.limit != null && it.learnedAt > time } == true

    @Synchronized
    private fun find(incarnation: ServerIncarnation): Known? =
        servers[incarnation.server]?.takeIf { it.startedAtMillis == incarnation.startedAtMillis }

    /** What the next request for admission must tell the leader; null if no limit is known. */
    public fun report(): LimitReport? = if (isEmpty) null else newReport()

    @Synchronized
    private fun newReport(): LimitReport =
        LimitReport(
            reportedTerm,
            servers.values.flatMap { it.evidence.statements }.filter { it.number > reportedNumber },
            lastNumber,
        )

    /** Records that the leader of [term] has answered a request with [report]. */
    @Synchronized
    public fun acknowledge(
        report: LimitReport,
        term: Long,
    ) {
        val known = reportedTerm
        if (known != null && known > term) return
        when {
            known == term -> {
                reportedNumber = maxOf(reportedNumber, report.lastNumber)
            }

            report.term == null -> {
                reportedTerm = term
                reportedNumber = report.lastNumber
            }

            else -> {
                // The new leader has not been told what the previous one knew.
                reportedTerm = null
                reportedNumber = 0
            }
        }
    }

    private companion object {
        /** Number of servers above which those that have said nothing for [RETENTION] are forgotten. */
        const val MAX_SERVERS = 4_096
        val RETENTION = 10.minutes
    }
}
