package anvilslip.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

/**
 * Entry point of the operator command-line tool.
 *
 * Exit codes: 0 success, 1 request rejected, 2 invalid usage, 3 instance or leader unavailable, 4 change accepted but not yet applied on
 * all instances.
 */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    var selectedCommand: OperatorCommand? = null
    val selectCommand = { command: OperatorCommand -> selectedCommand = command }
    val parser = ArgParser("anvilslip")
    parser.subcommands(
        StatusCommand(selectCommand),
        ListCommand(selectCommand),
        TimelineCommand(selectCommand),
        PutWorkspaceCommand(selectCommand),
        RemoveWorkspaceCommand(selectCommand),
        IssueKeyCommand(selectCommand),
        WithdrawKeyCommand(selectCommand),
        PutAdapterCommand(selectCommand),
        ImportAdaptersCommand(selectCommand),
        RemoveAdapterCommand(selectCommand),
        PutServiceClassCommand(selectCommand),
        PutRouteCommand(selectCommand),
        RemoveRouteCommand(selectCommand),
        DrainCommand(selectCommand),
        UndrainCommand(selectCommand),
        PardonCommand(selectCommand),
    )
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    val result = selectedCommand?.run() ?: exitProcess(CommandError.Usage("").exitCode)
    result.fold(
        {
            System.err.println("anvilslip: ${it.message}")
            exitProcess(it.exitCode)
        },
        { println(it) },
    )
}
