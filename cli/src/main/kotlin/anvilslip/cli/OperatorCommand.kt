package anvilslip.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.io.IOException
import kotlin.io.path.Path
import kotlin.io.path.readText

/**
 * A subcommand that calls the operator API of an instance.
 *
 * [execute] only reports the selected command to [onSelected]. [run] is called after all arguments have been parsed.
 */
@OptIn(ExperimentalCli::class)
internal abstract class OperatorCommand(
    name: String,
    description: String,
    private val onSelected: (OperatorCommand) -> Unit,
) : Subcommand(name, description) {
    private val operatorAddress by option(
        ArgType.String,
        "server",
        "s",
        "Operator address of any instance, as host:port",
    ).default("127.0.0.1:7200")
    private val tokenFile by option(ArgType.String, "token-file", description = "File that contains the operator token")
    protected val json: Boolean by option(ArgType.Boolean, "json", "j", "Print the output as JSON").default(false)

    override fun execute(): Unit = onSelected(this)

    /** Runs the command and returns the text to print. */
    fun run(): Either<CommandError, String> = createClient().fold({ it.left() }, { run(it) })

    protected abstract fun run(client: OperatorClient): Either<CommandError, String>

    private fun createClient(): Either<CommandError, OperatorClient> =
        try {
            OperatorClient(operatorAddress, tokenFile?.let { Path(it).readText().trim() }).right()
        } catch (e: IOException) {
            CommandError.Usage("cannot read the token file: ${e.message}").left()
        }
}
