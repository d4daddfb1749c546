/**
 * Execution status of a refused or failed request. `NOT_RUN` guarantees that no upstream executed it.
 */
package org.ibismoor.core.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
enum class Outcome(val text: String) {
    @SerialName("not_run")
    NOT_RUN("not_run"),

    @SerialName("may_have_run")
    MAY_HAVE_RUN("may_have_run"),

    @SerialName("ran")
    RAN("ran"),
}
