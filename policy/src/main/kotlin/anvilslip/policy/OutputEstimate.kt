package anvilslip.policy

/**
 * Expected number of output tokens of requests: the client's estimate, or without one the stated maximum, times the median ratio that
 * recent requests of the same service and priority have shown.
 */
internal class OutputEstimate {
    private class Ratios(
        initial: Double,
    ) {
        private val recent = ArrayDeque<Double>()
        private var addedSinceMedian = 0
        var median = initial
            private set

        fun add(ratio: Double) {
            recent += ratio
            if (recent.size > SAMPLES) recent.removeFirst()
            if (++addedSinceMedian < MEDIAN_INTERVAL) return
            addedSinceMedian = 0
            median = recent.sorted()[recent.size / 2]
        }
    }

    private data class Kind(
        val service: String,
        val priority: Int,
        val hasHint: Boolean,
    )

    private val ratios = HashMap<Kind, Ratios>()

    /** Expected output tokens of [request], at most its stated maximum. */
    fun expected(request: DispatchRequest): Int {
        val base = baseOf(request)
        if (base <= 0) return 0
        val expected = (base * ratiosOf(request).median).toInt()
        return if (request.maxOutputTokens > 0) minOf(expected, request.maxOutputTokens) else expected
    }

    /** Records that [request] has produced [tokens] output tokens. */
    fun observe(
        request: DispatchRequest,
        tokens: Int,
    ) {
        val base = baseOf(request)
        if (base > 0 && tokens > 0) ratiosOf(request).add(tokens.toDouble() / base)
    }

    private fun baseOf(request: DispatchRequest): Int = request.lengthHint ?: request.maxOutputTokens

    private fun ratiosOf(request: DispatchRequest): Ratios {
        val hasHint = request.lengthHint != null
        val kind = Kind(request.service, PendingTokens.index(request.priority), hasHint)
        return ratios.getOrPut(kind) { Ratios(if (hasHint) 1.0 else INITIAL_SHARE_OF_MAXIMUM) }
    }

    private companion object {
        const val SAMPLES = 64
        const val MEDIAN_INTERVAL = 8

        /** Most answers end before their stated maximum. */
        const val INITIAL_SHARE_OF_MAXIMUM = 0.5
    }
}
