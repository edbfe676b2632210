package anvilslip.cli

import anvilslip.state.Change
import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import java.util.UUID

/** A subcommand that submits a configuration change. */
@OptIn(ExperimentalCli::class)
internal abstract class ChangeCommand(
    name: String,
    description: String,
    onSelected: (OperatorCommand) -> Unit,
) : OperatorCommand(name, description, onSelected) {
    private val expectedRevision by option(
        ArgType.Int,
        "expect",
        description = "Configuration revision that the change is based on; the change is rejected if the revision differs",
    )
    private val requestId by option(
        ArgType.String,
        "request-id",
        description = "Unique ID of the change; a resend with the same ID returns the original outcome",
    )
    private val waitUntilApplied by option(ArgType.Boolean, "wait", "w", "Wait until all instances have applied the change").default(false)

    /** Builds the change from the arguments, or returns an error if they are invalid. */
    protected abstract fun buildChange(): Either<CommandError, Change>

    /** Text to print before the accepted revision, or `null` if there is none. */
    protected open fun additionalOutput(): String? = null

    override fun run(client: OperatorClient): Either<CommandError, String> =
        buildChange()
            .flatMap { client.submitChange(requestId ?: UUID.randomUUID().toString(), expectedRevision?.toLong(), it) }
            .flatMap { accepted ->
                (if (waitUntilApplied) awaitApplied(client, accepted.revision) else Unit.right()).map { accepted.revision }
            }.map { revision ->
                listOfNotNull(
                    additionalOutput(),
                    if (json) """{"revision":$revision}""" else "accepted as revision $revision",
                ).joinToString("\n")
            }

    private fun awaitApplied(
        client: OperatorClient,
        revision: Long,
    ): Either<CommandError, Unit> {
        val deadline = System.nanoTime() + APPLY_TIMEOUT_NANOS
        var laggingInstances: List<String> = emptyList()
        while (System.nanoTime() < deadline) {
            val instances =
                client
                    .status()
                    .getOrNull()
                    ?.system
                    ?.instances
            if (instances != null) {
                laggingInstances = instances.filter { it.revision < revision }.map { it.name }
                if (laggingInstances.isEmpty()) return Unit.right()
            }
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
        return CommandError
            .NotYetApplied(
                "revision $revision was accepted but is not yet applied on ${laggingInstances.joinToString().ifEmpty { "any instance" }}",
            ).left()
    }

    private companion object {
        const val APPLY_TIMEOUT_NANOS = 15_000_000_000L
        const val POLL_INTERVAL_MILLIS = 100L
    }
}
