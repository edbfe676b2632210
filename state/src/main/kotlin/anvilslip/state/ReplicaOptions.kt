package anvilslip.state

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Timing and sizes of the replicated log. */
public data class ReplicaOptions(
    val heartbeat: Duration = 150.milliseconds,
    /** Silence of the leader after which another may be elected; four heartbeats, so that one lost packet or a pause ends no term. */
    val electionTimeout: Duration = 600.milliseconds,
    /** How often a replica without state asks the others for theirs. */
    val joinInterval: Duration = 500.milliseconds,
    /** Clocks of two replicas may run apart by this share of any duration. */
    val clockDrift: Double = 0.01,
    val maxEntriesPerAppend: Int = 512,
    /** Applied entries kept in the log for replicas that lag. */
    val retainedEntries: Int = 2_000,
    /** How long to wait for a snapshot to be acknowledged before it is sent again. */
    val snapshotResendTimeout: Duration = 2000.milliseconds,
    /** Entries after which a snapshot is taken. */
    val entriesBetweenSnapshots: Int = 4_000,
    /** How many replicas vote where any instance may join; null where the members are listed and all of them vote. */
    val voterTarget: Int? = null,
    /** Silence after which a joined replica takes the place of a voter. */
    val voterReplacementTimeout: Duration = 2000.milliseconds,
) {
    /** How long after sending a confirmed round the leader may act alone. */
    public val leaderLease: Duration get() = electionTimeout * (1.0 - clockDrift) - heartbeat
}
