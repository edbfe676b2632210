package anvilslip.standin

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientRequest
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Resolves the instances to use and caches the result for [cacheLifetime], as clients do. */
internal class CallerResolver(
    private val client: HttpClient,
    private val seeds: List<String>,
    private val random: Random,
    private val cacheLifetime: Duration,
) {
    private var cachedAddresses: List<String> = emptyList()
    private var resolvedAt = 0L

    suspend fun address(): String {
        if (cachedAddresses.isEmpty() || System.nanoTime() - resolvedAt > cacheLifetime.inWholeNanoseconds) cachedAddresses = resolve()
        return cachedAddresses.firstOrNull() ?: seeds.random(random)
    }

    fun invalidate() {
        cachedAddresses = emptyList()
    }

    private suspend fun resolve(): List<String> {
        resolvedAt = System.nanoTime()
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
