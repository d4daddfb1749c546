/**
 * Settings of a platform stand-in. [file] has one VM a line: its name, and `live` or `leaving`. A change in the file
 * shows after [lagMillis].
 */
package org.ibismoor.standin.api

import java.nio.file.Path

data class PlatformSettings(val host: String, val port: Int, val file: Path, val lagMillis: Long)
