import { ConfigurationVersion } from "../../../model/ConfigurationVersion.js";
import { Roster } from "../../claims/Roster.js";
import { applyDelta } from "../applyDelta/index.js";
import { CustomerSpec } from "../CustomerSpec.js";
import { FleetSpec } from "../FleetSpec.js";
import { ManifestDelta } from "../ManifestDelta.js";
import { ManifestPart } from "../ManifestPart.js";
import { ManifestParts } from "../ManifestParts.js";
import { PartKind } from "../PartKind.js";
import { RouteSpec } from "../RouteSpec.js";
import { ServiceSpec } from "../ServiceSpec.js";

/** An accepted configuration with the indexes that request handling needs. Immutable. */
export class ConfigurationView {
    private readonly routesByHost: ReadonlyMap<string, readonly RouteSpec[]>;

    private constructor(readonly position: ConfigurationVersion, readonly parts: ManifestParts) {
        this.routesByHost = indexRoutes(parts);
    }

    /** Creates the view of an accepted configuration. */
    static create(position: ConfigurationVersion, parts: ManifestParts): ConfigurationView {
        return new ConfigurationView(position, parts);
    }

    /** Creates the empty view that is in use before the first configuration is accepted. */
    static createEmpty(): ConfigurationView {
        return new ConfigurationView({ term: 0, version: 0, manifestVersion: 0 }, new Map());
    }

    /** Returns a new view with a delta applied. */
    withDelta(position: ConfigurationVersion, delta: ManifestDelta): ConfigurationView {
        return new ConfigurationView(position, applyDelta(this.parts, delta));
    }

    /** Fleet-wide settings, or undefined before the first configuration. */
    get fleet(): FleetSpec | undefined {
        const part = this.parts.get("fleet");
        return part?.kind === PartKind.Fleet ? part.value : undefined;
    }

    /** Witnesses of idempotency keys, or undefined before they have been chosen. */
    get roster(): Roster | undefined {
        const part = this.parts.get("roster");
        return part?.kind === PartKind.Roster ? part.value : undefined;
    }

    /** All services. */
    get services(): readonly ServiceSpec[] {
        return [...this.parts.values()].flatMap((part) => part.kind === PartKind.Service ? [part.value] : []);
    }

    /** Looks up a service by name. */
    service(name: string): ServiceSpec | undefined {
        const part = this.parts.get(`service/${name}`);
        return part?.kind === PartKind.Service ? part.value : undefined;
    }

    /** Looks up a customer's own rate limit by name. */
    customer(name: string): CustomerSpec | undefined {
        const part = this.parts.get(`customer/${name}`);
        return part?.kind === PartKind.Customer ? part.value : undefined;
    }

    /** Finds the route with the longest matching path prefix. Routes for the exact host precede routes for any host. */
    route(host: string, path: string): RouteSpec | undefined {
        return findRouteByPrefix(this.routesByHost.get(host), path) ?? findRouteByPrefix(this.routesByHost.get("*"), path);
    }
}

function indexRoutes(parts: ManifestParts): ReadonlyMap<string, readonly RouteSpec[]> {
    const byHost = new Map<string, RouteSpec[]>();
    for (const route of routesOf(parts.values())) {
        const routes = byHost.get(route.host) ?? [];
        routes.push(route);
        byHost.set(route.host, routes);
    }
    byHost.forEach((routes) => routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length));
    return byHost;
}

function routesOf(parts: Iterable<ManifestPart>): readonly RouteSpec[] {
    return [...parts].flatMap((part) => part.kind === PartKind.Route ? [part.value] : []);
}

function findRouteByPrefix(routes: readonly RouteSpec[] | undefined, path: string): RouteSpec | undefined {
    return routes?.find((route) => matchesPrefix(route.pathPrefix, path));
}

function matchesPrefix(prefix: string, path: string): boolean {
    if (!path.startsWith(prefix)) {
        return false;
    }
    return prefix.endsWith("/") || path.length === prefix.length || path[prefix.length] === "/" || path[prefix.length] === "?";
}
