package anvilslip.gateway

/** What an answer of a backend server says about the requests per second that it takes from all instances together. */
public sealed interface LimitNotice {
    /** The answer names no limit. */
    public data object None : LimitNotice

    /** The answer names a limit that cannot be read, or was not given by the expected server: it tells nothing. */
    public data object Unknown : LimitNotice

    public data class Named(
        val requestsPerSecond: Double,
    ) : LimitNotice
}
