package anvilslip.entry

import anvilslip.control.TokenRefusal
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import kotlin.time.Duration.Companion.milliseconds

private val LEADER_RETRY = 200.milliseconds

/** Converts [refusal] to the error returned to the caller. */
internal fun tokenError(refusal: TokenRefusal): ApiError =
    when (refusal) {
        is TokenRefusal.OverLimit -> {
            ApiError(ErrorCode.RATE_LIMITED, "the workspace has used up its rate and burst", retryAfter = refusal.retryAfter)
        }

        TokenRefusal.OverBurst -> {
            ApiError(ErrorCode.OVER_BURST, "the request may use more tokens than the burst of its workspace")
        }

        TokenRefusal.LeaderUnreachable -> {
            ApiError(ErrorCode.LEADER_UNREACHABLE, "the owner of the limits cannot be reached", retryAfter = LEADER_RETRY)
        }
    }
