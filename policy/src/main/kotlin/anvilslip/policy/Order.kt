package anvilslip.policy

/** A command to a backend server. */
public sealed interface Order {
    /** The server that receives the order. */
    public val server: String

    /** The adapter version to which the order applies. */
    public val adapter: AdapterVersion

    /** Load [adapter], after unloading [evict] if it is not null. */
    public data class Load(
        override val server: String,
        override val adapter: AdapterVersion,
        val evict: AdapterVersion?,
    ) : Order
}
