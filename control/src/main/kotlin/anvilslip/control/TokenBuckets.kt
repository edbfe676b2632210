package anvilslip.control

import anvilslip.policy.CheckpointBounds
import anvilslip.policy.Grant
import anvilslip.policy.TokenBucket
import anvilslip.policy.Usage
import anvilslip.state.BucketCheckpoint
import anvilslip.state.Workspace
import kotlin.time.Duration

/** Token buckets of all workspaces, kept by the leader for one term. A bucket starts from its last committed checkpoint, if any. */
internal class TokenBuckets(
    term: Long,
    private val checkpoints: Map<String, BucketCheckpoint>,
) {
    private val buckets = HashMap<String, TokenBucket>()
    private val limits = HashMap<String, Workspace>()
    private val committed = HashMap<String, CheckpointBounds>()
    private var nextEpoch = term shl EPOCH_BITS

    operator fun get(workspace: String): TokenBucket? = buckets[workspace]

    val workspaceNames: Set<String> get() = buckets.keys

    /** Applies the limits of [workspaces]: creates buckets for new workspaces and removes those of deleted ones. */
    fun updateLimits(
        workspaces: Map<String, Workspace>,
        now: Duration,
    ) {
        for (config in workspaces.values) {
            if (limits[config.name] == config) continue
            limits[config.name] = config
            val burst = config.burstTokens.toDouble()
            val bucket = buckets[config.name]
            if (bucket != null) bucket.setLimits(config.tokensPerSecond, burst, now) else buckets[config.name] = create(config, now)
        }
        buckets.keys.retainAll(workspaces.keys)
        limits.keys.retainAll(workspaces.keys)
    }

    fun grant(
        workspace: String,
        incarnation: String,
        needed: Double,
        wanted: Double,
        usage: Usage,
        now: Duration,
    ): Grant? {
        val bucket = buckets[workspace] ?: return null
        bucket.applyUsage(incarnation, usage, now)
        return bucket.grant(incarnation, needed, wanted, now)
    }

    fun applyUsage(
        incarnation: String,
        usage: Map<String, Usage>,
        now: Duration,
    ) {
        for ((workspace, totals) in usage) buckets[workspace]?.applyUsage(incarnation, totals, now)
    }

    /**
     * Takes checkpoints of the buckets that need one: the last committed checkpoint allows too few further grants, or the bucket
     * has refilled well above it, so that the next leader would start with too few tokens.
     */
    fun dueCheckpoints(now: Duration): Map<String, CheckpointBounds> =
        buckets.filter { (name, bucket) -> isDue(name, bucket) }.mapValues { it.value.checkpoint(now) }

    /** Takes the due checkpoints, and one of [workspace] if a grant of [needed] tokens there is blocked by a missing checkpoint only. */
    fun dueCheckpoints(
        now: Duration,
        workspace: String,
        needed: Double,
    ): Map<String, CheckpointBounds> {
        val bucket = buckets[workspace]?.takeIf { it.needsCheckpoint(needed) } ?: return dueCheckpoints(now)
        return dueCheckpoints(now) + (workspace to bucket.checkpoint(now, needed))
    }

    /** Records that the checkpoints with [bounds] are committed, which allows further grants. */
    fun recordCommitted(bounds: Map<String, CheckpointBounds>) {
        for ((name, checkpoint) in bounds) buckets[name]?.commitCheckpoint(checkpoint)
        committed += bounds
    }

    private fun isDue(
        name: String,
        bucket: TokenBucket,
    ): Boolean {
        val checkpoint = committed[name] ?: return false
        val burst = limits.getValue(name).burstTokens
        val isLow = bucket.allowance < checkpoint.chunk / 2 && bucket.level > bucket.allowance
        val isStale = bucket.level - bucket.allowance - checkpoint.level > burst * STALE_SHARE
        return isLow || isStale
    }

    private fun create(
        workspace: Workspace,
        now: Duration,
    ): TokenBucket {
        val start = checkpoints[workspace.name]?.let { CheckpointBounds(it.level, it.outstanding, 0.0) }
        return TokenBucket(workspace.tokensPerSecond, workspace.burstTokens.toDouble(), now, start, epochs = { ++nextEpoch })
    }

    private companion object {
        /** Low bits of a grant epoch; the leader's term is above them, so that epochs grow from one leader to the next. */
        const val EPOCH_BITS = 24

        /** A new checkpoint is due once a bucket has refilled by more than this share of its burst since the last one. */
        const val STALE_SHARE = 0.1
    }
}
