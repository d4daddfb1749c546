/**
 * A setting as it was given: its flag, its checked value and the finding if it is missing or wrong. Read the value
 * only after [settingFindings] was empty for all settings of a program.
 */
package org.ibismoor.runtime.api

import org.ibismoor.core.api.Finding
import org.ibismoor.core.api.Place

class Setting<out T : Any> internal constructor(private val checked: T?, internal val finding: Finding?) {
    /** The value of a setting without a finding. */
    val value: T get() = checkNotNull(checked) { "the setting has a finding or is absent" }

    /** The value, or null if the setting was not given. */
    val valueOrNull: T? get() = checked
}

/** A setting that has to be given. */
fun <T : Any> requiredSetting(flag: String, text: String?, type: SettingType<T>): Setting<T> =
    if (text == null) {
        Setting(null, finding(flag, "the setting is missing", type))
    } else {
        optionalSetting(flag, text, type)
    }

/** A setting that may be absent. */
fun <T : Any> optionalSetting(flag: String, text: String?, type: SettingType<T>): Setting<T> {
    val value = text?.let(type::parse)
    return Setting(value, finding(flag, "the value is wrong", type).takeIf { text != null && value == null })
}

/** All findings of [settings], in the order given. */
fun settingFindings(vararg settings: Setting<*>): List<Finding> = settings.mapNotNull { it.finding }

/** A finding for each flag that a program does not know. [unmatched] is what the command line parser did not match. */
fun unknownFindings(unmatched: List<String>): List<Finding> {
    val flags = unmatched.filter { it.startsWith('-') }.ifEmpty { unmatched }
    return flags.map { Finding(Place(it), "the setting is unknown", "remove it, or see --help for the settings") }
}

/** The environment variable that stands for [flag] when the flag is not given. */
fun environmentNameOf(flag: String): String = "IBISMOOR_" + flag.trimStart('-').replace('-', '_').uppercase()

private fun finding(flag: String, problem: String, type: SettingType<*>): Finding =
    Finding(Place("$flag or ${environmentNameOf(flag)}"), problem, "expected ${type.description}")
