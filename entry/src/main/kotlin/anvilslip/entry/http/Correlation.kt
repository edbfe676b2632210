package anvilslip.entry.http

/** Tells the answer to a request from other answers on its connection: servers echo [id] in the header [header], named in lower case. */
public data class Correlation(
    public val header: String,
    public val id: String,
)
