package anvilslip.policy

/** How much room there is for further adapter loads, for the log. */
public data class LoadCapacity(
    /** Adapters that are being loaded, or whose load is about to be ordered. */
    val inTransit: Int,
    /** Adapters that may be in transit from the weight store at the same time. */
    val limit: Int,
    /** Ready engines. */
    val engines: Int,
    /** Engines to which orders may be sent now. */
    val orderable: Int,
    /** Those of [orderable] that have a free adapter slot, or one whose adapter no request uses. */
    val withSlot: Int,
)
