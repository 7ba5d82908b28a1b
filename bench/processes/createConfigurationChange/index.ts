import { RouteKind } from "../RouteKind.js";
import { SoakOrganisation } from "../SoakOrganisation.js";

const SERVICES = { [RouteKind.Safe]: "alpha", [RouteKind.Unsafe]: "beta", [RouteKind.Download]: "alpha" };

/**
 * Creates the body of an operator's call that sets all routes, services and limits of a fleet of processes.
 *
 * @param version - Version of all items.
 * @param timeoutMs - Timeout of all routes.
 * @param organisations - Organisations whose keys all routes but that of downloads need.
 * @returns The body in JSON.
 * @example
 * createConfigurationChange(2, 7_000);
 */
export function createConfigurationChange(version: number, timeoutMs: number, organisations: readonly SoakOrganisation[] = []): string {
    const metadata = (name: string): object => ({ name, version: `r${version}` });
    const routes = Object.values(RouteKind).map((kind) => ({
        entry_kind: "routes",
        metadata: metadata(`r-${kind}`),
        spec: {
            host: `${kind}.example`,
            path_prefix: "/",
            route_kind: kind,
            timeout: `${timeoutMs}ms`,
            target_latency: "2000ms",
            priority: 1,
            max_attempts: 2,
            service: SERVICES[kind],
            auth_exempt: kind === RouteKind.Download,
        },
    }));
    const services = ["alpha", "beta"].map((name) => ({
        entry_kind: "services",
        metadata: metadata(name),
        spec: { health_path: "/health", max_connections: 390, protocol: "h1", tls: false },
    }));
    const limits = {
        entry_kind: "limits",
        metadata: { version: `r${version}` },
        spec: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout: "3000ms", idle_timeout: "15000ms" },
    };
    const tenants = organisations.map(({ name, apiKey, ratePerSecond, burst }) => ({
        entry_kind: "tenants",
        metadata: metadata(name),
        spec: { api_keys: [apiKey], priority: 1, rate_per_s: ratePerSecond, burst },
    }));
    return JSON.stringify({ upsert: { resources: [...services, limits, ...routes, ...tenants] } });
}
