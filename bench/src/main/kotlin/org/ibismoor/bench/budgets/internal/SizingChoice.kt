/**
 * The share sizing policies that the replay compares.
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.demandWeightedSizing
import org.ibismoor.ledger.api.equalSizing
import org.ibismoor.ledger.api.pooledSizing

internal enum class SizingChoice(val label: String, val policy: ShareSizingPolicy) {
    DEMAND("demand", demandWeightedSizing()),
    EQUAL("equal", equalSizing()),
    POOLED("pooled", pooledSizing()),
}
