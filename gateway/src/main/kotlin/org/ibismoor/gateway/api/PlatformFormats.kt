/**
 * Platform-specific formats that the gateway needs: header fields, configuration documents and the upstream list.
 */
package org.ibismoor.gateway.api

data class PlatformFormats(
    val dialect: HttpDialect,
    val configuration: ConfigurationFormat,
    val upstreams: UpstreamListFormat,
)
