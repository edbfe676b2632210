package anvilslip.policy

import kotlin.time.Duration

/** Token buckets of all workspaces with a rate limit, kept by the leader. */
internal class WorkspaceLimits(
    /** True if another leader preceded this one. Buckets then start empty, since their bursts may have been spent already. */
    private val hasPredecessor: Boolean,
) {
    private val buckets = HashMap<String, WorkspaceBucket>()
    private var workspaces: List<ServingWorkspace> = emptyList()
    private var share = 1.0

    /** Applies the limits of the workspaces in [next]. */
    fun configure(
        next: List<ServingWorkspace>,
        now: Duration,
    ) {
        workspaces = next.filter { it.ratePerSecond > 0 }
        buckets.keys.retainAll(workspaces.map { it.name }.toSet())
        setShare(share, now)
    }

    /** Grants only the share [newShare] of each limit. */
    fun setShare(
        newShare: Double,
        now: Duration,
    ) {
        share = newShare
        for (workspace in workspaces) {
            val rate = workspace.ratePerSecond * newShare
            val burst = workspace.burst * newShare
            val start = if (hasPredecessor) 0.0 else burst
            buckets.getOrPut(workspace.name) { WorkspaceBucket(rate, burst, start, now) }.setLimits(rate, burst, now)
        }
    }

    /** Time to delay a request of [workspace], before which [reserved] tokens are spent; zero without a limit. */
    fun waitTime(
        workspace: String?,
        tokens: Long,
        now: Duration,
        reserved: Long = 0,
    ): Duration = bucket(workspace, tokens)?.waitTime(tokens.toDouble(), now, reserved.toDouble()) ?: Duration.ZERO

    fun spend(
        workspace: String?,
        tokens: Long,
        now: Duration,
    ) {
        bucket(workspace, tokens)?.spend(tokens.toDouble(), now)
    }

    fun refund(
        workspace: String?,
        tokens: Long,
    ) {
        bucket(workspace, tokens)?.refund(tokens.toDouble())
    }

    /** Returns the usage of the workspaces charged or refunded since the last call. */
    fun takeUsage(): List<LimitUsage> = buckets.mapNotNull { (name, bucket) -> bucket.takeUsage(name) }

    private fun bucket(
        workspace: String?,
        tokens: Long,
    ): WorkspaceBucket? = if (workspace == null || tokens <= 0) null else buckets[workspace]
}
