package anvilslip.policy

/** One run of the process of a backend server. A server may start again under its ID; the new process knows nothing of the earlier one. */
public data class ServerIncarnation(
    val server: String,
    val startedAtMillis: Long,
)
