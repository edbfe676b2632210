package anvilslip.policy

import kotlin.time.Duration

/** The limits of all workspaces, as the leader hands them out. */
internal class WorkspaceLimits(
    /** True when another leader came before, so that the bursts may have been used already. */
    private val hasPredecessor: Boolean,
) {
    private val buckets = HashMap<String, WorkspaceBucket>()
    private var workspaces: List<ServingWorkspace> = emptyList()
    private var share = 1.0

    /** Takes over the limits of [next]. */
    fun configure(
        next: List<ServingWorkspace>,
        now: Duration,
    ) {
        workspaces = next.filter { it.ratePerSecond > 0 }
        buckets.keys.retainAll(workspaces.map { it.name }.toSet())
        setShare(share, now)
    }

    /** Hands out only [part] of each limit. */
    fun setShare(
        part: Double,
        now: Duration,
    ) {
        share = part
        for (workspace in workspaces) {
            val rate = workspace.ratePerSecond * part
            val burst = workspace.burst * part
            val start = if (hasPredecessor) 0.0 else burst
            buckets.getOrPut(workspace.name) { WorkspaceBucket(rate, burst, start, now) }.updateLimits(rate, burst, now)
        }
    }

    /** How long a request of [workspace] must be held back. */
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
        bucket(workspace, tokens)?.spend(tokens.toDouble(), now)
    }

    fun refund(
        workspace: String?,
        tokens: Long,
    ) {
        bucket(workspace, tokens)?.refund(tokens.toDouble())
    }

    private fun bucket(
        workspace: String?,
        tokens: Long,
    ): WorkspaceBucket? = if (workspace == null || tokens <= 0) null else buckets[workspace]
}
