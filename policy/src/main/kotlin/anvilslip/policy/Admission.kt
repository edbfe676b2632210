package anvilslip.policy

/** Result of [Dispatcher.admit]: what the caller has to do next with a [DispatchRequest]. */
public sealed interface Admission {
    /** The decision is final. */
    public data class Decided(
        val decision: DispatchDecision,
    ) : Admission

    /** Carry out [order], report its outcome to the [Dispatcher], and call [Dispatcher.admit] again. */
    public data class Load(
        val order: LoadOrder,
    ) : Admission

    /** Call [Dispatcher.admit] again once [server] has answered the pending order to load [adapter]. */
    public data class AwaitOrder(
        val server: String,
        val adapter: String,
    ) : Admission
}
