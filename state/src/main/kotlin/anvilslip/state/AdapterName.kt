package anvilslip.state

import kotlinx.serialization.Serializable

/** An adapter of a base model. */
@Serializable
public data class AdapterName(
    val model: String,
    val adapter: String,
) {
    override fun toString(): String = "$model/$adapter"
}
