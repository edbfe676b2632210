package anvilslip.gateway

import anvilslip.kernel.Finding
import anvilslip.policy.ServingConfiguration
import arrow.core.Either

/** How operators write a complete configuration. */
public fun interface DocumentDialect {
    /** Reads and checks [text]; all findings are reported together, each with its place in the text. */
    public fun parse(text: String): Either<List<Finding>, ServingConfiguration>
}
