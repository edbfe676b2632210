package anvilslip.entry.http

/** A complete body that was received, in [parts], and the [memory] that it takes. */
public class ReceivedBody internal constructor(
    public val parts: List<ByteArray>,
    public val memory: HeldMemory,
) : AutoCloseable {
    /** The body decoded as UTF-8. */
    public val text: String get() = joinParts(parts).decodeToString()

    override fun close(): Unit = memory.close()
}
