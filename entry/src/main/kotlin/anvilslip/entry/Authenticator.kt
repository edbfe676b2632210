package anvilslip.entry

import anvilslip.control.ControlService
import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode
import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Checks whether this instance can serve requests and maps API keys to workspaces. */
public class Authenticator(
    private val control: ControlService,
) {
    /** Returns an error if this instance is draining or its configuration is stale, otherwise null. */
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

    /** Returns the name of the workspace that [key] belongs to. */
    public fun authenticate(key: String?): Either<ApiError, String> {
        if (key == null) return ApiError(ErrorCode.MISSING_KEY, "show a key as 'Authorization: Bearer KEY'").left()
        val workspaceKey = control.configuration.key(SecretKeys.hash(key))
        return workspaceKey?.workspace?.right() ?: ApiError(ErrorCode.UNKNOWN_KEY, "the key is unknown or withdrawn").left()
    }

    /** True while [key] has not been withdrawn, or for requests without a key. Checked again after each wait. */
    public fun isValid(key: String?): Boolean = key == null || control.configuration.key(SecretKeys.hash(key)) != null

    private companion object {
        val DRAIN_RETRY = 100.milliseconds
        val STALE_RETRY = 1.seconds
    }
}
