/**
 * Seeds for random choices that depend on names only. All processes derive the same seed from a name.
 */
package org.ibismoor.pacing.internal

private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
private const val PRIME = 0x100000001b3L

/** FNV-1a hash of 64 bits; the 32 bits of `String.hashCode` give equal ranks to too many pairs of names. */
internal fun seedOf(text: String): Long =
    text.fold(OFFSET_BASIS) { hash, character -> (hash xor character.code.toLong()) * PRIME }
