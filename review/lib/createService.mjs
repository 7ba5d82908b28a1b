/* eslint-disable @typescript-eslint/explicit-function-return-type */
/** Creates a service item of the configuration. */
export function createService(name, version = "r1") {
    return { entry_kind: "services", metadata: { name, version }, spec: { health_path: "/health", max_connections: 390, protocol: "h1", tls: false } };
}
