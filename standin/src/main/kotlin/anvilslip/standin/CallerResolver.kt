package anvilslip.standin

import anvilslip.entry.HttpClient
import anvilslip.entry.HttpClientRequest
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Asks the system which instances to use and keeps the answer for a while, as callers do. */
internal class CallerResolver(
    private val client: HttpClient,
    private val seeds: List<String>,
    private val random: Random,
    private val keep: Duration,
) {
    private var known: List<String> = emptyList()
    private var askedAt = 0L

    suspend fun address(): String {
        if (known.isEmpty() || System.nanoTime() - askedAt > keep.inWholeNanoseconds) known = ask()
        return known.firstOrNull() ?: seeds.random(random)
    }

    fun forget() {
        known = emptyList()
    }

    private suspend fun ask(): List<String> {
        askedAt = System.nanoTime()
        val affinity = random.nextInt()
        for (seed in seeds.shuffled(random)) {
            try {
                val answer = client.exchange(seed, HttpClientRequest("GET", "/v1/resolve?workspace=$affinity"), 2.seconds)
                val instances = Json.parseToJsonElement(answer.text).jsonObject["instances"]?.jsonArray ?: continue
                return instances.map {
                    it.jsonObject
                        .getValue("address")
                        .jsonPrimitive.content
                }
            } catch (_: IOException) {
                continue
            }
        }
        return emptyList()
    }
}
