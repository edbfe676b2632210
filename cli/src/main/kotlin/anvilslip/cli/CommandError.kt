package anvilslip.cli

/** A command failure. Each subtype has its own exit code. */
internal sealed interface CommandError {
    val message: String
    val exitCode: Int

    /** The instance rejected the request. */
    data class Rejected(
        override val message: String,
    ) : CommandError {
        override val exitCode: Int get() = 1
    }

    /** The command-line arguments are invalid. */
    data class Usage(
        override val message: String,
    ) : CommandError {
        override val exitCode: Int get() = 2
    }

    /** The instance could not be reached or the system has no leader. The command can be retried. */
    data class Unavailable(
        override val message: String,
    ) : CommandError {
        override val exitCode: Int get() = 3
    }

    /** An accepted change was not applied on all instances before the timeout. */
    data class NotYetApplied(
        override val message: String,
    ) : CommandError {
        override val exitCode: Int get() = 4
    }
}
