package anvilslip.policy

import kotlinx.serialization.Serializable

/** Description of a backend server that is distributed to every instance. */
@Serializable
public data class BackendView(
    val server: String,
    val incarnation: String,
    val kind: BackendKind,
    val serves: String,
    val address: String,
    val zone: String,
    val batch: Int,
    val leaving: Boolean,
)
