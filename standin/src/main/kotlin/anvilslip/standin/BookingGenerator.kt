package anvilslip.standin

import anvilslip.entry.HttpClient
import anvilslip.entry.HttpClientException
import anvilslip.entry.HttpClientRequest
import anvilslip.entry.HttpResponse
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callers of calls that may run only once; they resend to other instances until they know, or give up as unknown. */
public class BookingGenerator(
    private val entries: List<String>,
    private val key: String,
    private val bookings: Int,
    private val concurrency: Int,
    private val path: String,
    private val patience: Duration,
    private val pause: Duration,
    private val client: HttpClient,
    seed: Long,
) {
    private val random = Random(seed)
    private val name = "booking-$seed-${System.nanoTime()}"
    private val next = AtomicInteger()
    private val told = ConcurrentHashMap<String, BookingHistory.Told>()

    /** Sends all bookings and returns the last word on each. */
    public suspend fun run(): Map<String, BookingHistory.Told> {
        coroutineScope {
            repeat(concurrency) { launch(Dispatchers.Default) { caller() } }
        }
        return told.toMap()
    }

    /** The runs that the service at [address] remembers. */
    public suspend fun executed(address: String): List<String> {
        val answer = client.exchange(address, HttpClientRequest("GET", "/standin/v1/executed"), 5.seconds)
        val all =
            Json
                .parseToJsonElement(answer.text)
                .jsonObject
                .getValue("executed")
                .jsonArray
                .map { it.jsonPrimitive.content }
        return all.filter { it.startsWith(name) }
    }

    private suspend fun caller() {
        while (true) {
            val number = next.getAndIncrement()
            if (number >= bookings) return
            book("$name-$number")
            delay(pause)
        }
    }

    /** Once an answer may have been lost, only another answer settles it: a later "not run" speaks of the resend alone. */
    private suspend fun book(booking: String) {
        val startedAt = System.nanoTime()
        var mayHaveRun = false
        while ((System.nanoTime() - startedAt) < patience.inWholeNanoseconds) {
            val (word, wait) = send(booking)
            if (word == BookingHistory.Told.ANSWERED) {
                told[booking] = word
                return
            }
            if (word == BookingHistory.Told.UNKNOWN) mayHaveRun = true
            delay(wait)
        }
        told[booking] = if (mayHaveRun) BookingHistory.Told.UNKNOWN else BookingHistory.Told.NOT_RUN
    }

    private suspend fun send(booking: String): Pair<BookingHistory.Told, Duration> {
        val headers = mapOf("Authorization" to "Bearer $key", "Idempotency-Key" to booking)
        val call = HttpClientRequest("POST", path, headers, booking.toByteArray(), freshConnection = true)
        return try {
            judge(booking, client.exchange(entries.random(random), call, 6.seconds))
        } catch (_: HttpClientException.NotSent) {
            BookingHistory.Told.NOT_RUN to RETRY
        } catch (_: IOException) {
            BookingHistory.Told.UNKNOWN to RETRY
        }
    }

    private fun judge(
        booking: String,
        answer: HttpResponse,
    ): Pair<BookingHistory.Told, Duration> {
        val body = Json.parseToJsonElement(answer.text).jsonObject
        if (answer.status == OK) {
            check(body["echo"]?.jsonPrimitive?.content == booking) { "the answer to another booking: ${answer.text}" }
            return BookingHistory.Told.ANSWERED to Duration.ZERO
        }
        val error = body.getValue("error").jsonObject
        val word = if (error["ran"]?.jsonPrimitive?.content == "not_run") BookingHistory.Told.NOT_RUN else BookingHistory.Told.UNKNOWN
        val wait = error["retry_after_ms"]?.jsonPrimitive?.content?.toLong() ?: RETRY.inWholeMilliseconds
        return word to wait.milliseconds
    }

    private companion object {
        val RETRY = 100.milliseconds
        const val OK = 200
    }
}
