package anvilslip.standin

import java.util.zip.CRC32C

/** Computes the deterministic answers of stand-in engines, which clients verify word by word. */
public object ExpectedAnswer {
    /** Returns the word at [index] of the answer to [input] by an adapter version. */
    public fun word(
        adapter: String,
        version: String,
        input: String,
        index: Int,
    ): String {
        val checksum = CRC32C().apply { update("$adapter@$version|$input|$index".toByteArray()) }
        return "%08x ".format(checksum.value)
    }

    /** Returns the first [count] words of the answer. */
    public fun text(
        adapter: String,
        version: String,
        input: String,
        count: Int,
    ): String = (0 until count).joinToString("") { word(adapter, version, input, it) }
}
