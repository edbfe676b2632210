package anvilslip.gateway

/**
 * Keys under which a request may be suspected of crashing servers: the request as a whole, and each part of its prompt that other
 * requests share.
 */
internal fun suspectKeysOf(
    fingerprint: String,
    request: ClientRequest,
): List<String> = request.sharedPromptParts.map { "part:$it" } + fingerprint
