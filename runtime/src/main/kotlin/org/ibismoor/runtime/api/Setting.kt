/**
 * A parsed setting: its value, or a finding if it is missing or invalid. Read the value only if [settingFindings] is
 * empty for all settings of the program.
 */
package org.ibismoor.runtime.api

import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place

class Setting<out T : Any> internal constructor(private val parsed: T?, internal val finding: Finding?) {
    /** The value; fails if the setting has a finding or was not given. */
    val value: T get() = checkNotNull(parsed) { "the setting has a finding or was not given" }

    /** The value, or null if the setting was not given or is invalid. */
    val valueOrNull: T? get() = parsed
}

/** Parses a mandatory setting. */
fun <T : Any> requiredSetting(flag: String, text: String?, type: SettingType<T>): Setting<T> =
    if (text == null) {
        Setting(null, finding(flag, "the setting is missing", type))
    } else {
        optionalSetting(flag, text, type)
    }

/** Parses an optional setting; null [text] means that it was not given. */
fun <T : Any> optionalSetting(flag: String, text: String?, type: SettingType<T>): Setting<T> {
    val value = text?.let(type::parse)
    return Setting(value, finding(flag, "the value is wrong", type).takeIf { text != null && value == null })
}

/** All findings of [settings], in the order given. */
fun settingFindings(vararg settings: Setting<*>): List<Finding> = settings.mapNotNull { it.finding }

/** A finding for each unknown flag. [unmatched] are the arguments that the command line parser did not match. */
fun unknownFindings(unmatched: List<String>): List<Finding> {
    val flags = unmatched.filter { it.startsWith('-') }.ifEmpty { unmatched }
    return flags.map { Finding(Place(it), "the setting is unknown", "remove it, or see --help for the settings") }
}

/** Name of the environment variable that is used if [flag] is not given. */
fun environmentNameOf(flag: String): String = "IBISMOOR_" + flag.trimStart('-').replace('-', '_').uppercase()

private fun finding(flag: String, problem: String, type: SettingType<*>): Finding =
    Finding(Place("$flag or ${environmentNameOf(flag)}"), problem, "expected ${type.description}")
