package anvilslip.standin

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpServer
import anvilslip.policy.DispatchOptions
import anvilslip.settings.Address
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlin.io.path.Path
import kotlin.io.path.readLines
import kotlin.io.path.writeLines
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds

private const val CRASH_EXIT = 134

private fun address(text: String) = Address(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

@OptIn(ExperimentalCli::class)
private class EngineCommand : Subcommand("engine", "A model engine") {
    val server by option(ArgType.String, "name").required()
    val model by option(ArgType.String, "model").default("base")
    val zone by option(ArgType.String, "zone").default("az1")
    val listen by option(ArgType.String, "listen").required()
    val announceTo by option(ArgType.String, "announce-to", description = "Addresses, separated by commas").required()
    val slots by option(ArgType.Int, "slots").default(4)
    val batch by option(ArgType.Int, "batch").default(8)
    val tokenMillis by option(ArgType.Int, "token-ms").default(5)
    val coldStartMillis by option(ArgType.Int, "cold-start-ms").default(0)
    val failEvery by option(ArgType.Int, "fail-every-load").default(0)
    val ignoreFencing by option(ArgType.Boolean, "ignore-fencing").default(false)
    val weightStore by option(ArgType.String, "weight-store")

    override fun execute(): Unit =
        runBlocking {
            val options =
                EngineOptions(
                    server = server,
                    model = model,
                    zone = zone,
                    address = address(listen),
                    slots = slots,
                    batch = batch,
                    tokenTime = tokenMillis.milliseconds,
                    checksFencing = !ignoreFencing,
                    weightStore = weightStore,
                    coldStart = coldStartMillis.milliseconds,
                    failEveryLoad = failEvery,
                )
            val client = HttpClient()
            val engine = EngineStandIn(options, client) { Runtime.getRuntime().halt(CRASH_EXIT) }
            delay(options.coldStart)
            HttpServer("engine", options.address, engine).start()
            launch { Announcer(client, announceTo.split(","), engine::announcement).run() }
        }
}

@OptIn(ExperimentalCli::class)
private class WeightStoreCommand : Subcommand("weight-store", "The weight store") {
    val listen by option(ArgType.String, "listen").required()

    override fun execute(): Unit =
        runBlocking {
            HttpServer("weight-store", address(listen), WeightStoreStandIn()).start()
            delay(Long.MAX_VALUE)
        }
}

@OptIn(ExperimentalCli::class)
private class ServiceCommand : Subcommand("service", "An application service") {
    val server by option(ArgType.String, "name").required()
    val serves by option(ArgType.String, "serves").default("bookings")
    val zone by option(ArgType.String, "zone").default("az1")
    val listen by option(ArgType.String, "listen").required()
    val announceTo by option(ArgType.String, "announce-to").required()
    val callMillis by option(ArgType.Int, "call-ms").default(20)

    override fun execute(): Unit =
        runBlocking {
            HttpServer("service", address(listen), ServiceStandIn(server, callMillis.milliseconds)).start()
            val incarnation = System.nanoTime().toString()
            val announcement =
                """{"server":"$server","incarnation":"$incarnation","kind":"application","serves":"$serves","address":"$listen","zone":"$zone"}"""
            launch { Announcer(HttpClient(), announceTo.split(",")) { announcement }.run() }
        }
}

@OptIn(ExperimentalCli::class)
private class LoadCommand : Subcommand("load", "Clients that verify every answer") {
    val entries by option(ArgType.String, "entries", description = "Client addresses, separated by commas").required()
    val keyFile by option(ArgType.String, "key-file", description = "File with one key a line").default("")
    val adapters by option(ArgType.Int, "adapters").default(10)
    val skew by option(ArgType.Double, "skew").default(1.0)
    val concurrency by option(ArgType.Int, "concurrency").default(8)
    val requests by option(ArgType.Int, "requests").default(200)
    val maxTokens by option(ArgType.Int, "max-tokens").default(8)
    val seed by option(ArgType.Int, "seed").default(1)
    val pauseMillis by option(ArgType.Int, "pause-ms").default(0)
    val retries by option(ArgType.Int, "retries").default(0)
    val plain by option(ArgType.Boolean, "plain", description = "Do not stream").default(false)
    val direct by option(ArgType.Boolean, "direct", description = "Send to engines").default(false)

    override fun execute(): Unit =
        runBlocking {
            val options =
                LoadOptions(
                    entries = entries.split(","),
                    keys = if (keyFile.isEmpty()) listOf("") else Path(keyFile).readLines().filter { it.isNotBlank() },
                    adapters = adapters,
                    skew = skew,
                    concurrency = concurrency,
                    requests = requests,
                    maxTokens = maxTokens,
                    stream = !plain,
                    seed = seed.toLong(),
                    pause = pauseMillis.milliseconds,
                    direct = direct,
                    retries = retries,
                )
            val client = HttpClient(threads = 2)
            val startedAt = System.nanoTime()
            val result = LoadGenerator(options, client).run()
            report(result, (System.nanoTime() - startedAt) / 1e9)
            client.stop()
        }

    private fun report(
        result: LoadResult,
        seconds: Double,
    ) {
        println("seconds=%.2f".format(seconds))
        for ((outcome, count) in result.counts) println("outcome=$outcome count=$count")
        println("whole_per_second=%.1f".format((result.counts["whole"] ?: 0) / seconds))
        for ((name, histogram) in listOf("first_part" to result.firstPart, "total" to result.total)) {
            val quantiles = listOf(50.0, 95.0, 99.0).joinToString(" ") { "p%.0f_us=%d".format(it, histogram.getValueAtPercentile(it)) }
            println("$name $quantiles")
        }
    }
}

@OptIn(ExperimentalCli::class)
private class BookingsCommand : Subcommand("bookings", "Clients whose calls must run at most once, with a check of the recorded history") {
    val entries by option(ArgType.String, "entries").required()
    val services by option(ArgType.String, "services", description = "Stand-in services that record what they executed").required()
    val keyFile by option(ArgType.String, "key-file").required()
    val bookings by option(ArgType.Int, "bookings").default(200)
    val concurrency by option(ArgType.Int, "concurrency").default(8)
    val path by option(ArgType.String, "path").default("/bookings")
    val timeoutMillis by option(ArgType.Int, "patience-ms").default(20_000)
    val pauseMillis by option(ArgType.Int, "pause-ms").default(0)
    val seed by option(ArgType.Int, "seed").default(1)

    override fun execute(): Unit =
        runBlocking {
            val client = HttpClient()
            val key = Path(keyFile).readLines().first { it.isNotBlank() }
            val generator =
                BookingGenerator(
                    entries = entries.split(","),
                    key = key,
                    bookings = bookings,
                    concurrency = concurrency,
                    path = path,
                    timeout = timeoutMillis.milliseconds,
                    pause = pauseMillis.milliseconds,
                    client = client,
                    seed = seed.toLong(),
                )
            val results = generator.run()
            val history = BookingHistory(results, services.split(",").flatMap { generator.executed(it) })
            for ((end, count) in results.values.groupingBy { it }.eachCount()) println("bookings told=${end.name.lowercase()} count=$count")
            val violations = history.violations()
            violations.forEach { println("VIOLATION $it") }
            println("executed=${history.executed.size} violations=${violations.size}")
            client.stop()
            if (violations.isNotEmpty()) exitProcess(1)
        }
}

@OptIn(ExperimentalCli::class)
private class ExperimentCommand : Subcommand("experiment", "Compares placement policies on the same seeds in virtual time") {
    val seeds by option(ArgType.Int, "seeds").default(10)
    val output by option(ArgType.String, "output", description = "Output file with one JSON object per run")

    override fun execute() {
        val results = ArrayList<ExperimentResult>()
        ExperimentRuns.run(1L..seeds) {
            results += it
            System.err.print("\r${results.size} runs")
        }
        System.err.println()
        output?.let { file -> Path(file).writeLines(results.map { Json.encodeToString(ExperimentResult.serializer(), it) }) }
        println(ExperimentReport.table(results))
    }
}

@OptIn(ExperimentalCli::class)
private class DispatchCommand : Subcommand("dispatch", "Simulates dispatch under several load scenarios in virtual time") {
    val seeds by option(ArgType.Int, "seeds").default(10)
    val load by option(ArgType.String, "load", description = "Name of one load (default: all)")
    val engines by option(ArgType.Int, "engines").default(DispatchTrialOptions().engines)
    val priorities by option(ArgType.Boolean, "priorities", description = "Requests of three priorities").default(false)
    val noQueue by option(ArgType.Boolean, "no-queue", description = "Without a queue for admission").default(false)

    override fun execute() {
        if (priorities) return runWithPriorities()
        val options = DispatchTrialOptions(engines = engines)
        val loads = (DispatchLoad.ALL + DispatchLoad.withLimits(engines)).filter { load == null || it.name == load }
        println(DispatchTrialReport.table(loads.flatMap { each -> (1L..seeds).map { DispatchTrial(options, each, it).run() } }))
    }

    private fun runWithPriorities() {
        val dispatch = if (noQueue) DispatchOptions(minQueueEngines = Int.MAX_VALUE) else DispatchOptions()
        val options = DispatchTrialOptions.ofManyEngines(engines, dispatch)
        val loads = DispatchLoad.ofManyEngines(engines).filter { load == null || it.name == load }
        val results = loads.flatMap { each -> (1L..seeds).map { DispatchTrial(options, each, it).run() } }
        println(DispatchTrialReport.table(results))
        println(DispatchTrialReport.priorityTable(results))
    }
}

@OptIn(ExperimentalCli::class)
private class CostCommand : Subcommand("cost", "Benchmarks placement decisions and configuration changes at several sizes") {
    override fun execute() {
        for (adapters in listOf(3_000, 57_000)) {
            for (servers in listOf(9, 100)) println(DecisionCost.placement(adapters, servers))
            println(DecisionCost.configuration(adapters))
        }
    }
}

/** Runs stand-ins for backend servers and the weight store, load generators, and simulations of placement and dispatch. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("anvilslip-standin")
    parser.subcommands(
        EngineCommand(),
        WeightStoreCommand(),
        ServiceCommand(),
        LoadCommand(),
        BookingsCommand(),
        ExperimentCommand(),
        DispatchCommand(),
        CostCommand(),
    )
    parser.parse(args)
}
