package anvilslip.standin

import anvilslip.entry.http.HttpClient
import anvilslip.entry.http.HttpClientRequest
import kotlinx.coroutines.delay
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Announces a stand-in periodically to [addresses] in turn; moves on sooner if one does not answer. */
public class Announcer(
    private val client: HttpClient,
    private val addresses: List<String>,
    private val announcement: () -> String,
) {
    /** Runs until cancelled. */
    public suspend fun run() {
        var next = addresses.indices.random()
        while (true) {
            if (announce(addresses[next])) delay(ANNOUNCE_INTERVAL) else delay(RETRY_DELAY)
            next = (next + 1) % addresses.size
        }
    }

    private suspend fun announce(address: String): Boolean {
        val call =
            HttpClientRequest("POST", "/backend/v1/announce", mapOf("Content-Type" to "application/json"), announcement().toByteArray())
        return try {
            client.exchange(address, call, 2.seconds).status == 200
        } catch (_: IOException) {
            false
        }
    }

    private companion object {
        val ANNOUNCE_INTERVAL = 500.milliseconds
        val RETRY_DELAY = 50.milliseconds
    }
}
