/**
 * The sizing policies: the default, [demandWeightedSizing], and the baselines for comparisons with it.
 */
package org.ibismoor.ledger.api

import org.ibismoor.ledger.internal.DemandWeightedSizing
import org.ibismoor.ledger.internal.EqualSizing
import org.ibismoor.ledger.internal.PooledSizing

/** Each replica gets an equal part of each grant; tokens are never moved afterwards. */
fun equalSizing(): ShareSizingPolicy = EqualSizing

/** All tokens stay in the pool until a reservation needs them. */
fun pooledSizing(): ShareSizingPolicy = PooledSizing

/** Part of each grant is held back, the rest is distributed by demand, and surplus tokens are moved on need. */
fun demandWeightedSizing(): ShareSizingPolicy = DemandWeightedSizing
