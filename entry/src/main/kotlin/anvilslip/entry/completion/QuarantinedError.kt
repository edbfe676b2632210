package anvilslip.entry.completion

import anvilslip.entry.http.ApiError
import anvilslip.entry.http.ErrorCode

internal fun quarantinedError() =
    ApiError(ErrorCode.REQUEST_QUARANTINED, "servers crashed while they ran this request, so it is not run any more")
