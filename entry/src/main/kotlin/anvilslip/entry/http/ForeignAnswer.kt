package anvilslip.entry.http

import kotlin.time.Duration

/** An answer that does not name the request that was waiting for one on its connection. */
public data class ForeignAnswer(
    /** The server, as `host:port`. */
    public val address: String,
    public val status: Int,
    /** ID of the request that was waiting. */
    public val expectedId: String,
    /** ID in the answer; null if it has none. */
    public val foundId: String?,
    /** Number of the exchange on its connection, starting at 1. */
    public val exchange: Int,
    /** Time since the exchange before on the connection; null for the first. */
    public val sincePrevious: Duration?,
)
