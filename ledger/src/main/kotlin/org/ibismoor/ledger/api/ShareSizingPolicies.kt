/**
 * The sizing policies: the default and the baselines that it is compared with.
 */
package org.ibismoor.ledger.api

import org.ibismoor.ledger.internal.DemandWeightedSizing
import org.ibismoor.ledger.internal.EqualSizing
import org.ibismoor.ledger.internal.PooledSizing

/** Each replica gets an equal part of each grant, and nothing moves afterwards. */
fun equalSizing(): ShareSizingPolicy = EqualSizing

/** All tokens stay in the pool and are issued as reservations need them. */
fun pooledSizing(): ShareSizingPolicy = PooledSizing

/** A part of each grant is held back, the rest goes to replicas by their demand, and surplus moves on need. */
fun demandWeightedSizing(): ShareSizingPolicy = DemandWeightedSizing
