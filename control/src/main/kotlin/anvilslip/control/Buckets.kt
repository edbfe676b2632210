package anvilslip.control

import anvilslip.policy.CheckpointBounds
import anvilslip.policy.Grant
import anvilslip.policy.TokenBucket
import anvilslip.policy.Usage
import anvilslip.state.BucketCheckpoint
import anvilslip.state.Workspace
import kotlin.time.Duration

/** The buckets of all workspaces, kept by the leader of one term; starts from the last agreed checkpoints. */
internal class Buckets(
    term: Long,
    private val checkpoints: Map<String, BucketCheckpoint>,
) {
    private val buckets = HashMap<String, TokenBucket>()
    private val limits = HashMap<String, Workspace>()
    private val agreed = HashMap<String, CheckpointBounds>()
    private var nextEpoch = term shl EPOCH_BITS

    operator fun get(workspace: String): TokenBucket? = buckets[workspace]

    val names: Set<String> get() = buckets.keys

    /** Takes over the limits in force. */
    fun configure(
        workspaces: Map<String, Workspace>,
        now: Duration,
    ) {
        for (workspace in workspaces.values) {
            if (limits[workspace.name] == workspace) continue
            limits[workspace.name] = workspace
            val burst = workspace.burstTokens.toDouble()
            val bucket = buckets[workspace.name]
            if (bucket != null) bucket.updateLimits(workspace.tokensPerSecond, burst, now) else buckets[workspace.name] = open(workspace, now)
        }
        buckets.keys.retainAll(workspaces.keys)
        limits.keys.retainAll(workspaces.keys)
    }

    fun grant(
        workspace: String,
        instance: String,
        needed: Double,
        wanted: Double,
        usage: Usage,
        now: Duration,
    ): Grant? {
        val bucket = buckets[workspace] ?: return null
        bucket.applyUsage(instance, usage, now)
        return bucket.grant(instance, needed, wanted, now)
    }

    fun report(
        instance: String,
        usage: Map<String, Usage>,
        now: Duration,
    ) {
        for ((workspace, totals) in usage) buckets[workspace]?.applyUsage(instance, totals, now)
    }

    /** Workspaces whose agreed bounds leave too little room, or hold back tokens that have flowed in since. */
    fun due(now: Duration): Map<String, CheckpointBounds> =
        buckets.filter { (name, bucket) -> isDue(name, bucket) }.mapValues { it.value.checkpoint(now) }

    /** As [due], and [workspace] if a grant of [needed] waits for it. */
    fun due(
        now: Duration,
        workspace: String,
        needed: Double,
    ): Map<String, CheckpointBounds> {
        val bucket = buckets[workspace]?.takeIf { it.needsCheckpoint(needed) } ?: return due(now)
        return due(now) + (workspace to bucket.checkpoint(now, needed))
    }

    fun agreed(starts: Map<String, CheckpointBounds>) {
        for ((name, start) in starts) buckets[name]?.commitCheckpoint(start)
        agreed += starts
    }

    private fun isDue(
        name: String,
        bucket: TokenBucket,
    ): Boolean {
        val start = agreed[name] ?: return false
        val burst = limits.getValue(name).burstTokens
        val low = bucket.allowance < start.chunk / 2 && bucket.level > bucket.allowance
        val stale = bucket.level - bucket.allowance - start.level > burst * STALE_SHARE
        return low || stale
    }

    private fun open(
        workspace: Workspace,
        now: Duration,
    ): TokenBucket {
        val start = checkpoints[workspace.name]?.let { CheckpointBounds(it.level, it.outstanding, 0.0) }
        return TokenBucket(workspace.tokensPerSecond, workspace.burstTokens.toDouble(), now, start, epochs = { ++nextEpoch })
    }

    private companion object {
        const val EPOCH_BITS = 24
        const val STALE_SHARE = 0.1
    }
}
