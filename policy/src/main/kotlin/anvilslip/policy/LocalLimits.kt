package anvilslip.policy

import kotlin.time.Duration

/**
 * Shares of workspace limits that an entry instance may spend without a leader. All requests that the instance sends are charged to
 * them, also those that a leader admitted, so that the loss of a leader allows no second burst. Not thread-safe.
 */
public class LocalLimits {
    private val buckets = HashMap<String, WorkspaceBucket>()

    /** Time to wait until [tokens] of [workspace] may be spent locally if [entries] instances share its limit. */
    public fun waitTime(
        workspace: ServingWorkspace,
        tokens: Long,
        entries: Int,
        now: Duration,
    ): Duration = bucket(workspace, entries, now).waitTime(tokens.toDouble(), now)

    /** Spends [tokens] of [workspace] on a local decision. */
    public fun spend(
        workspace: ServingWorkspace,
        tokens: Long,
        entries: Int,
        now: Duration,
    ): Unit = bucket(workspace, entries, now).spend(tokens.toDouble(), now)

    /**
     * Charges [tokens] that a leader granted. A leader may grant more than a share to one instance; the debt is limited, so that the
     * instance can spend its share again soon after the leader is lost.
     */
    public fun recordGranted(
        workspace: ServingWorkspace,
        tokens: Long,
        entries: Int,
        now: Duration,
    ) {
        val maxDebt = maxOf(workspace.burst / entries, tokens.toDouble())
        bucket(workspace, entries, now).spendGranted(tokens.toDouble(), maxDebt, now)
    }

    /** Returns the usage of the workspaces for which tokens were spent locally since the last call, for the log. */
    public fun takeUsage(): List<LimitUsage> = buckets.mapNotNull { (name, bucket) -> bucket.takeUsage(name) }

    private fun bucket(
        workspace: ServingWorkspace,
        entries: Int,
        now: Duration,
    ): WorkspaceBucket {
        val rate = workspace.ratePerSecond / entries
        val burst = workspace.burst / entries
        val bucket = buckets.getOrPut(workspace.name) { WorkspaceBucket(rate, burst, level = 0.0, now) }
        bucket.setLimits(rate, burst, now)
        return bucket
    }
}
