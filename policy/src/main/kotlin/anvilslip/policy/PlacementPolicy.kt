package anvilslip.policy

import kotlin.time.Duration

/** Decides which server runs an adapter, what is loaded and what is evicted. Deterministic; each call returns its effects. */
public interface PlacementPolicy {
    /** Takes in what a model engine says of itself. */
    public fun applyAnnouncement(
        announcement: Announcement,
        now: Duration,
    ): PlacementOutput

    /** Takes in the uses of [instance], which renews their leases. */
    public fun renewLeases(
        instance: String,
        uses: List<AdapterUse>,
        now: Duration,
    ): PlacementOutput

    /** Places [request] now, queues it behind a load, or refuses it. */
    public fun place(
        request: PlacementRequest,
        now: Duration,
    ): PlacementOutput

    /** Takes in the result of a load. */
    public fun recordLoadResult(
        server: String,
        adapter: AdapterVersion,
        succeeded: Boolean,
        now: Duration,
    ): PlacementOutput

    /** Lets time pass. */
    public fun tick(now: Duration): PlacementOutput

    /** Records how long a request took from first byte sent to last byte received. */
    public fun observeServiceTime(duration: Duration) {}
}
