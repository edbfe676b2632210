package anvilslip.gateway

import anvilslip.policy.ServingWorkspace
import java.security.MessageDigest
import java.util.HexFormat

private const val FINGERPRINT_BYTES = 8

/**
 * Returns an identifier that all repeats of a request share: a digest of its workspace, host, method, target and body. Headers, such
 * as the ID of the attempt, do not count.
 */
internal fun fingerprintOf(
    request: ClientRequest,
    workspace: ServingWorkspace?,
): String {
    val digest = MessageDigest.getInstance("SHA-256")
    for (part in listOf(workspace?.name.orEmpty(), request.host, request.call.method, request.call.target)) {
        digest.update(part.toByteArray())
        digest.update(0)
    }
    digest.update(request.call.body)
    return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES)
}
