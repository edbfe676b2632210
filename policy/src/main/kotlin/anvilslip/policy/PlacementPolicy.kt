package anvilslip.policy

import kotlin.time.Duration

/** Selects servers for adapter requests, and decides which adapters to load and evict. Deterministic; each call returns its effects. */
public interface PlacementPolicy {
    /** Applies the announcement of a model engine. */
    public fun applyAnnouncement(
        announcement: Announcement,
        now: Duration,
    ): PlacementOutput

    /** Renews the use leases of [instance] from the [uses] that it reports. */
    public fun renewLeases(
        instance: String,
        uses: List<AdapterUse>,
        now: Duration,
    ): PlacementOutput

    /** Places [request] immediately, queues it until its adapter is loaded, or refuses it. */
    public fun place(
        request: PlacementRequest,
        now: Duration,
    ): PlacementOutput

    /** Records the result of a load. */
    public fun recordLoadResult(
        server: String,
        adapter: AdapterVersion,
        succeeded: Boolean,
        now: Duration,
    ): PlacementOutput

    /** Processes time-outs and starts loads that are due. */
    public fun tick(now: Duration): PlacementOutput

    /** Records the service time of a request, from the first byte sent to the last byte received. */
    public fun observeServiceTime(duration: Duration) {}
}
