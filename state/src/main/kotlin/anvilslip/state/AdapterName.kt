package anvilslip.state

import kotlinx.serialization.Serializable

/** Identifies an adapter by its base model and its name. */
@Serializable
public data class AdapterName(
    val model: String,
    val adapter: String,
) {
    override fun toString(): String = "$model/$adapter"
}
