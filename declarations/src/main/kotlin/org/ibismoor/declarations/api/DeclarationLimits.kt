/**
 * Limits of a set of declaration files. They bound the time and memory that one publication can take.
 */
package org.ibismoor.declarations.api

object DeclarationLimits {
    /** Files in one set. */
    const val MAXIMUM_FILES: Int = 10_000

    /** Size of one file in characters. */
    const val MAXIMUM_FILE_CHARACTERS: Int = 4_000_000

    /** Size of a whole set in characters; with the framing of a message it stays below 64 MB. */
    const val MAXIMUM_SET_CHARACTERS: Int = 48_000_000

    /** Length of one line in characters. */
    const val MAXIMUM_LINE_CHARACTERS: Int = 2_000

    /** Nested flow brackets in one file; the format needs four. */
    const val MAXIMUM_NESTING: Int = 32

    /** Characters of indentation and list markers before a line's content; the format needs twelve. */
    const val MAXIMUM_INDENTATION: Int = 64

    /** Rows of one kind in a set. */
    const val MAXIMUM_ROWS: Int = 100_000

    /** Length of a name in characters. */
    const val MAXIMUM_NAME_CHARACTERS: Int = 64

    /** Findings that are reported in full; further ones are only counted. */
    const val MAXIMUM_FINDINGS: Int = 1_000

    /** Budget tokens in one grant, or in the price of one call. The sum of 10 000 such grants fits into a `Long`. */
    const val MAXIMUM_TOKENS: Long = 100_000_000_000_000
}
