/**
 * Reports a control process that does not answer.
 */
package org.ibismoor.operator.internal

internal fun reportNoAnswer(url: String) =
    System.err.println("$url does not answer; check the URL and that the control process is running")
