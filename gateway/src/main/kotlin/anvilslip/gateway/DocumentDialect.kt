package anvilslip.gateway

import anvilslip.kernel.Finding
import anvilslip.policy.ServingConfiguration
import arrow.core.Either

/** Format in which operators write a complete configuration. */
public fun interface DocumentDialect {
    /** Parses and validates [text]; returns all findings, each with its position in the text, if it is invalid. */
    public fun parse(text: String): Either<List<Finding>, ServingConfiguration>
}
