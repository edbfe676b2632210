package anvilslip.state

import kotlinx.serialization.Serializable

/** A complete configuration as operators sent it. The document with the highest [version] is in force. */
@Serializable
public data class ConfigurationDocument(
    val version: Long,
    /** The text as received, kept so that operators read back exactly what they sent. */
    val text: String,
)
