package anvilslip.policy

import kotlin.time.Duration

/** Token buckets of all workspaces with a rate limit, kept by the leader. */
internal class WorkspaceLimits(
    /** True if another leader preceded this one. Buckets then start empty, since their bursts may have been spent already. */
    private val hasPredecessor: Boolean,
) {
    private class Unreported(
        var charged: Long = 0,
        var refunded: Long = 0,
    )

    private val buckets = HashMap<String, WorkspaceBucket>()
    private val unreported = HashMap<String, Unreported>()
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

    /** Time to delay a request of [workspace]; zero without a limit. */
    fun waitTime(
        workspace: String?,
        tokens: Long,
        now: Duration,
    ): Duration = bucket(workspace, tokens)?.waitTime(tokens.toDouble(), now) ?: Duration.ZERO

    fun spend(
        workspace: String?,
        tokens: Long,
        now: Duration,
    ) {
        val bucket = bucket(workspace, tokens) ?: return
        bucket.spend(tokens.toDouble(), now)
        unreported.getOrPut(workspace!!, ::Unreported).charged += tokens
    }

    fun refund(
        workspace: String?,
        tokens: Long,
    ) {
        val bucket = bucket(workspace, tokens) ?: return
        bucket.refund(tokens.toDouble())
        unreported.getOrPut(workspace!!, ::Unreported).refunded += tokens
    }

    /** Returns the usage of the workspaces charged or refunded since the last call. */
    fun takeUsage(): List<LimitUsage> {
        val usage =
            unreported.mapNotNull { (name, tokens) ->
                buckets[name]?.let { LimitUsage(name, it.rate, it.level, tokens.charged, tokens.refunded) }
            }
        unreported.clear()
        return usage
    }

    private fun bucket(
        workspace: String?,
        tokens: Long,
    ): WorkspaceBucket? = if (workspace == null || tokens <= 0) null else buckets[workspace]
}
