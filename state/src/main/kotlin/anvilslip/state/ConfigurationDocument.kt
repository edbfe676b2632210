package anvilslip.state

import kotlinx.serialization.Serializable

/** A complete configuration as operators sent it; of two documents the one with the higher [version] is in force. */
@Serializable
public data class ConfigurationDocument(
    val version: Long,
    /** The text as received, so that it is read back unchanged. */
    val text: String,
)
