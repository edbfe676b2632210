package anvilslip.standin

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientException
import anvilslip.entry.http.HttpClientRequest
import anvilslip.entry.http.HttpResponse
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

/** Sends bookings, which must run at most once. Retries on random instances until answered or timed out. */
public class BookingGenerator(
    private val entries: List<String>,
    private val key: String,
    private val bookings: Int,
    private val concurrency: Int,
    private val path: String,
    private val timeout: Duration,
    private val pause: Duration,
    private val client: HttpClient,
    seed: Long,
) {
    private val random = Random(seed)
    private val idPrefix = "booking-$seed-${System.nanoTime()}"
    private val nextNumber = AtomicInteger()
    private val outcomes = ConcurrentHashMap<String, BookingHistory.Told>()

    /** Sends all bookings and returns their final outcomes. */
    public suspend fun run(): Map<String, BookingHistory.Told> {
        coroutineScope {
            repeat(concurrency) { launch(Dispatchers.Default) { runClient() } }
        }
        return outcomes.toMap()
    }

    /** Returns the bookings of this generator that the service at [address] executed, in order. */
    public suspend fun executed(address: String): List<String> {
        val answer = client.exchange(address, HttpClientRequest("GET", "/standin/v1/executed"), 5.seconds)
        val all =
            Json
                .parseToJsonElement(answer.text)
                .jsonObject
                .getValue("executed")
                .jsonArray
                .map { it.jsonPrimitive.content }
        return all.filter { it.startsWith(idPrefix) }
    }

    private suspend fun runClient() {
        while (true) {
            val number = nextNumber.getAndIncrement()
            if (number >= bookings) return
            submitBooking("$idPrefix-$number")
            delay(pause)
        }
    }

    /** Once an attempt ended with an unknown outcome, only an answer is conclusive: a later "not run" refers to the retry alone. */
    private suspend fun submitBooking(booking: String) {
        val startedAt = System.nanoTime()
        var mayHaveRun = false
        while ((System.nanoTime() - startedAt) < timeout.inWholeNanoseconds) {
            val (outcome, wait) = send(booking)
            if (outcome == BookingHistory.Told.ANSWERED) {
                outcomes[booking] = outcome
                return
            }
            if (outcome == BookingHistory.Told.UNKNOWN) mayHaveRun = true
            delay(wait)
        }
        outcomes[booking] = if (mayHaveRun) BookingHistory.Told.UNKNOWN else BookingHistory.Told.NOT_RUN
    }

    private suspend fun send(booking: String): Pair<BookingHistory.Told, Duration> {
        val headers = mapOf("Authorization" to "Bearer $key", "Idempotency-Key" to booking)
        val call = HttpClientRequest("POST", path, headers, booking.toByteArray(), freshConnection = true)
        return try {
            classify(booking, client.exchange(entries.random(random), call, 6.seconds))
        } catch (_: HttpClientException.NotSent) {
            BookingHistory.Told.NOT_RUN to RETRY_DELAY
        } catch (_: IOException) {
            BookingHistory.Told.UNKNOWN to RETRY_DELAY
        }
    }

    private fun classify(
        booking: String,
        answer: HttpResponse,
    ): Pair<BookingHistory.Told, Duration> {
        val body = Json.parseToJsonElement(answer.text).jsonObject
        if (answer.status == OK) {
            check(body["echo"]?.jsonPrimitive?.content == booking) { "received the answer to another booking: ${answer.text}" }
            return BookingHistory.Told.ANSWERED to Duration.ZERO
        }
        val error = body.getValue("error").jsonObject
        val outcome = if (error["ran"]?.jsonPrimitive?.content == "not_run") BookingHistory.Told.NOT_RUN else BookingHistory.Told.UNKNOWN
        val wait = error["retry_after_ms"]?.jsonPrimitive?.content?.toLong() ?: RETRY_DELAY.inWholeMilliseconds
        return outcome to wait.milliseconds
    }

    private companion object {
        val RETRY_DELAY = 100.milliseconds
        const val OK = 200
    }
}
