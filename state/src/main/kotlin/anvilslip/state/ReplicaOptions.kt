package anvilslip.state

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Timeouts and limits of the replicated log. */
public data class ReplicaOptions(
    val heartbeat: Duration = 150.milliseconds,
    /**
     * Time without a message from the leader after which another replica may be elected. Four heartbeats, so that a lost
     * packet or a short pause does not trigger an election.
     */
    val electionTimeout: Duration = 600.milliseconds,
    /** How often a replica that is not a voter asks the others to let it join, or to start a new log. */
    val joinInterval: Duration = 500.milliseconds,
    /** Upper bound for the relative difference in the speed of two replicas' clocks. */
    val clockDrift: Double = 0.01,
    val maxEntriesPerAppend: Int = 512,
    /** Size of the entries of one message; a larger entry is sent in a message of its own. */
    val maxBytesPerAppend: Long = 1L * MEBIBYTE,
    /** Size of the entries sent to a follower that it has not acknowledged; no more are sent before it has. */
    val maxUnacknowledgedBytes: Long = 4L * MEBIBYTE,
    /** Number of entries covered by the latest snapshot that stay in the log, for followers that lag behind. */
    val retainedEntries: Int = 2_000,
    /** Size of the entries covered by the latest snapshot that stay in the log. */
    val retainedBytes: Long = 4L * MEBIBYTE,
    /** Time after which a snapshot that was not acknowledged is sent again. */
    val snapshotResendTimeout: Duration = 2000.milliseconds,
    /** Number of applied entries after which the next snapshot is taken. */
    val entriesBetweenSnapshots: Int = 4_000,
    /** Size of the applied entries after which the next snapshot is taken. */
    val bytesBetweenSnapshots: Long = 32L * MEBIBYTE,
    /** Size of the entries in the log above which the leader rejects commands, because they are not committed fast enough. */
    val maxLogBytes: Long = 64L * MEBIBYTE,
    /** Number of voters if any instance may join; null if the members are fixed and all of them vote. */
    val voterTarget: Int? = null,
    /** Time without a reply after which a voter is replaced by a replica that has joined. */
    val voterReplacementTimeout: Duration = 2000.milliseconds,
) {
    /**
     * Duration of the leader lease, counted from the time at which a round was sent that a majority confirmed. Shorter than the
     * election timeout by the clock drift and one heartbeat, so that it ends before another replica can be elected.
     */
    public val leaderLease: Duration get() = electionTimeout * (1.0 - clockDrift) - heartbeat

    private companion object {
        const val MEBIBYTE = 1024 * 1024
    }
}
