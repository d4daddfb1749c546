/**
 * Decisions under load that a deployment can switch on. All are off unless its settings ask for them.
 */
package org.ibismoor.forwarding.api

data class LoadPolicies(
    val callerPlacement: CallerPlacement = CallerPlacement.DOMAIN,
    val upstreamPacing: PolicySwitch = PolicySwitch.OFF,
    val admissionQueue: PolicySwitch = PolicySwitch.OFF,
    /** Limit of the request bytes that one upstream holds from all routers together; null if there is none. */
    val maximumUpstreamBytes: Long? = null,
)

/** How a router chooses the routers that it names to a caller. */
enum class CallerPlacement {
    /** Those of the caller's failure domain, if there are enough. */
    DOMAIN,

    /** By the room that each router has, those of the caller's failure domain first. */
    ROOM,

    /** [ROOM] if the listed routers have different numbers of cores outside the VMs of replicas, else [DOMAIN]. */
    AUTO,
}

enum class PolicySwitch {
    OFF,
    ON,

    /** On for upstreams that report the present duration of work with their load. */
    AUTO,
}
