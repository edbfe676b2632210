package anvilslip.policy

/** How much room there is for further adapter loads, for the log. */
public data class LoadCapacity(
    /** Adapters on their way from the weight store. */
    val inTransit: Int,
    /** Adapters whose load no engine has accepted yet. */
    val reserved: Int,
    /** Limit of [inTransit], and of [reserved]. */
    val limit: Int,
    /** Ready engines. */
    val engines: Int,
    /** Engines to which orders may be sent now. */
    val orderable: Int,
    /** Those of [orderable] that have a free adapter slot, or one whose adapter no request uses. */
    val withSlot: Int,
)
