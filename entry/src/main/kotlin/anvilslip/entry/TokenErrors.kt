package anvilslip.entry

import anvilslip.control.TokenRefusal
import kotlin.time.Duration.Companion.milliseconds

private val LEADER_RETRY = 200.milliseconds

/** Converts [refusal] to the error returned to the caller. */
internal fun tokenError(refusal: TokenRefusal): ApiError =
    when (refusal) {
        is TokenRefusal.OverLimit -> {
            ApiError(ErrorCode.RATE_LIMITED, "the workspace has exceeded its token rate", retryAfter = refusal.retryAfter)
        }

        TokenRefusal.OverBurst -> {
            ApiError(ErrorCode.OVER_BURST, "the request may use more tokens than the burst limit of the workspace")
        }

        TokenRefusal.LeaderUnreachable -> {
            ApiError(ErrorCode.LEADER_UNREACHABLE, "the leader that grants rate-limit tokens is unreachable", retryAfter = LEADER_RETRY)
        }
    }
