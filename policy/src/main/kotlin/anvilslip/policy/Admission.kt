package anvilslip.policy

/** What to do with a [DispatchRequest]. */
public sealed interface Admission {
    /** It is decided. */
    public data class Decided(
        val decision: DispatchDecision,
    ) : Admission

    /** Carry out [order], report its outcome, and ask again. */
    public data class Load(
        val order: LoadOrder,
    ) : Admission

    /** Ask again once the load of [adapter] that is being ordered at [server] has been answered. */
    public data class AwaitOrder(
        val server: String,
        val adapter: String,
    ) : Admission
}
