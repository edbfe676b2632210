package anvilslip.gateway

/** One run of the process of a backend server. A server may start again under its ID; the new process knows nothing of the earlier one. */
internal data class ServerIncarnation(
    val server: String,
    val startedAtMillis: Long,
)
