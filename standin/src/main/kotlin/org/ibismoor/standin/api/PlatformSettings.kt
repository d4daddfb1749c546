/**
 * Settings of a platform stand-in. Each line of [file] has the name of a VM and `live` or `leaving`. A change of the
 * file is visible after [lagMillis] at the earliest.
 */
package org.ibismoor.standin.api

import java.nio.file.Path

data class PlatformSettings(val host: String, val port: Int, val file: Path, val lagMillis: Long)
