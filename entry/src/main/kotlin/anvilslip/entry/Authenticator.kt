package anvilslip.entry

import anvilslip.control.ControlService
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides before anything else whether a call may be served here and for which workspace. */
public class Authenticator(
    private val control: ControlService,
) {
    /** An error unless this instance takes work and knows a recent configuration. */
    public fun readinessError(): ApiError? =
        when {
            control.draining -> {
                ApiError(
                    ErrorCode.DRAINING,
                    "this instance is shutting down; ask /v1/resolve for another",
                    retryAfter = DRAIN_RETRY,
                )
            }

            !control.isFresh -> {
                ApiError(
                    ErrorCode.STALE_CONFIGURATION,
                    "this instance is cut off; ask /v1/resolve of another",
                    retryAfter = STALE_RETRY,
                )
            }

            else -> {
                null
            }
        }

    /** The name of the workspace that [key] belongs to. */
    public fun authenticate(key: String?): Either<ApiError, String> {
        if (key == null) return ApiError(ErrorCode.MISSING_KEY, "show a key as 'Authorization: Bearer KEY'").left()
        val known = control.configuration.key(SecretKeys.hash(key))
        return known?.workspace?.right() ?: ApiError(ErrorCode.UNKNOWN_KEY, "the key is unknown or withdrawn").left()
    }

    /** True while [key] is still in force; checked again after each wait. */
    public fun isValid(key: String?): Boolean = key == null || control.configuration.key(SecretKeys.hash(key)) != null

    private companion object {
        val DRAIN_RETRY = 100.milliseconds
        val STALE_RETRY = 1.seconds
    }
}
