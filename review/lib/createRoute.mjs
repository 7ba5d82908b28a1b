/* eslint-disable @typescript-eslint/explicit-function-return-type */
/** Creates a route item of the configuration. */
export function createRoute(name, host, kind, service, timeoutMs, version = "r1") {
    return {
        entry_kind: "routes",
        metadata: { name, version },
        spec: {
            host,
            path_prefix: "/",
            route_kind: kind,
            timeout: `${timeoutMs}ms`,
            target_latency: "2000ms",
            priority: 1,
            service,
            max_attempts: 2,
        },
    };
}
