package anvilslip.settings

/** An IP address and a TCP port. */
public data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}
