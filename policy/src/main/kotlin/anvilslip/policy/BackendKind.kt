package anvilslip.policy

import kotlinx.serialization.Serializable

/** Kind of service that a backend server runs. */
@Serializable
public enum class BackendKind {
    /** A model engine with adapter slots. */
    MODEL,

    /** A plain service. */
    APPLICATION,
}
