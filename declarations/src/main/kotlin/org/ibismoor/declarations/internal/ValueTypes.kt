/**
 * The types of scalar values in declaration files.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.declarations.api.DeclarationLimits
import java.net.URI
import java.net.URISyntaxException

private const val MAXIMUM_TEXT_CHARACTERS = 256
private const val MAXIMUM_PORT = 65_535
private const val PER_MILLE_DIGITS = 3
private const val PER_MILLE = 1_000
private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]*")
private val FAILURE_DOMAIN = Regex("[a-z0-9][a-z0-9-]*")
private val SHA_256 = Regex("[0-9a-f]{64}")
private val WHOLE_NUMBER = Regex("-?(0|[1-9][0-9]{0,17})")
private val FRACTION = Regex("0(\\.[0-9]{1,3})?|1(\\.0{1,3})?")
private val PATH = Regex("/[A-Za-z0-9._~/-]*")

internal object NameType : ValueType<String> {
    override val description =
        "a name of at most ${DeclarationLimits.MAXIMUM_NAME_CHARACTERS} letters, digits, dots, dashes and underscores"
    override val substitute = ""

    override fun parse(text: String): String? =
        text.takeIf { it.length <= DeclarationLimits.MAXIMUM_NAME_CHARACTERS && NAME.matches(it) }
}

/** Failure domains are part of request keys, which use dots and tildes as separators, so neither is allowed. */
internal object FailureDomainType : ValueType<String> {
    override val description = "a failure domain of lower-case letters, digits and dashes"
    override val substitute = ""

    override fun parse(text: String): String? =
        text.takeIf { it.length <= DeclarationLimits.MAXIMUM_NAME_CHARACTERS && FAILURE_DOMAIN.matches(it) }
}

internal object TextType : ValueType<String> {
    override val description = "a text of 1 to $MAXIMUM_TEXT_CHARACTERS printable characters"
    override val substitute = ""

    override fun parse(text: String): String? =
        text.takeIf { it.length in 1..MAXIMUM_TEXT_CHARACTERS && it.none(Char::isISOControl) }
}

internal object DigestType : ValueType<String> {
    override val description = "a SHA-256 digest of 64 lower-case hexadecimal digits"
    override val substitute = ""

    override fun parse(text: String): String? = text.takeIf(SHA_256::matches)
}

internal object PathType : ValueType<String> {
    override val description = "a path that starts with a slash"
    override val substitute = "/"

    override fun parse(text: String): String? = text.takeIf { it.length <= MAXIMUM_TEXT_CHARACTERS && PATH.matches(it) }
}

internal class WholeNumberType(private val range: LongRange) : ValueType<Long> {
    override val description = "a whole number from ${range.first} to ${range.last}"
    override val substitute = range.first

    override fun parse(text: String): Long? = text.takeIf(WHOLE_NUMBER::matches)?.toLong()?.takeIf { it in range }
}

/** A fraction from 0 to 1 in thousandths. */
internal object FractionType : ValueType<Int> {
    override val description = "a fraction from 0 to 1 with at most $PER_MILLE_DIGITS decimals"
    override val substitute = 0

    override fun parse(text: String): Int? = text.takeIf(FRACTION::matches)?.let(::perMille)

    private fun perMille(text: String): Int {
        val decimals = text.substringAfter('.', "").padEnd(PER_MILLE_DIGITS, '0')
        return text.substringBefore('.').toInt() * PER_MILLE + decimals.toInt()
    }
}

internal object FlagType : ValueType<Boolean> {
    override val description = "true or false"
    override val substitute = false

    override fun parse(text: String): Boolean? = text.toBooleanStrictOrNull()
}

internal class ChoiceType<T : Any>(private val choices: Map<String, T>) : ValueType<T> {
    override val description = "one of ${choices.keys.joinToString()}"
    override val substitute = choices.values.first()

    override fun parse(text: String): T? = choices[text]
}

internal object UrlType : ValueType<String> {
    override val description = "a URL of the form http://<IP number>:<port>"
    override val substitute = ""

    override fun parse(text: String): String? = text.takeIf { uriOf(it)?.let(::isBaseUrl) == true }

    private fun uriOf(text: String): URI? =
        try {
            URI(text)
        } catch (_: URISyntaxException) {
            null
        }

    private fun isBaseUrl(uri: URI): Boolean =
        uri.scheme in setOf("http", "https") &&
            !uri.host.isNullOrEmpty() &&
            uri.port in 1..MAXIMUM_PORT &&
            uri.toString() == "${uri.scheme}://${uri.host}:${uri.port}"
}
