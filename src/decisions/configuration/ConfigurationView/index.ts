import { ConfigurationVersion } from "../../../model/ConfigurationVersion.js";
import { Roster } from "../../claims/Roster.js";
import { applyDelta } from "../applyDelta/index.js";
import { CustomerIntent } from "../CustomerIntent.js";
import { FleetIntent } from "../FleetIntent.js";
import { ManifestDelta } from "../ManifestDelta.js";
import { ManifestPart } from "../ManifestPart.js";
import { ManifestParts } from "../ManifestParts.js";
import { PartKind } from "../PartKind.js";
import { RouteIntent } from "../RouteIntent.js";
import { ServiceIntent } from "../ServiceIntent.js";

/** An accepted configuration, indexed for the request path. Immutable. */
export class ConfigurationView {
    private readonly routesByHost: ReadonlyMap<string, readonly RouteIntent[]>;

    private constructor(readonly position: ConfigurationVersion, readonly parts: ManifestParts) {
        this.routesByHost = indexRoutes(parts);
    }

    /** Creates the view of an accepted configuration. */
    static create(position: ConfigurationVersion, parts: ManifestParts): ConfigurationView {
        return new ConfigurationView(position, parts);
    }

    /** Creates the view that holds before the first configuration is accepted. */
    static createEmpty(): ConfigurationView {
        return new ConfigurationView({ term: 0, version: 0, manifestVersion: 0 }, new Map());
    }

    /** Creates the view that follows this one by a delta. */
    advance(position: ConfigurationVersion, delta: ManifestDelta): ConfigurationView {
        return new ConfigurationView(position, applyDelta(this.parts, delta));
    }

    /** Fleet-wide intent, or undefined before the first configuration. */
    get fleet(): FleetIntent | undefined {
        const part = this.parts.get("fleet");
        return part?.kind === PartKind.Fleet ? part.value : undefined;
    }

    /** Witnesses of idempotency keys, or undefined before they have been chosen. */
    get roster(): Roster | undefined {
        const part = this.parts.get("roster");
        return part?.kind === PartKind.Roster ? part.value : undefined;
    }

    /** All services. */
    get services(): readonly ServiceIntent[] {
        return [...this.parts.values()].flatMap((part) => part.kind === PartKind.Service ? [part.value] : []);
    }

    /** Looks up a service by name. */
    service(name: string): ServiceIntent | undefined {
        const part = this.parts.get(`service/${name}`);
        return part?.kind === PartKind.Service ? part.value : undefined;
    }

    /** Looks up a customer's own limit by name. */
    customer(name: string): CustomerIntent | undefined {
        const part = this.parts.get(`customer/${name}`);
        return part?.kind === PartKind.Customer ? part.value : undefined;
    }

    /** Finds the route with the longest matching path prefix; routes of the host go before routes of any host. */
    route(host: string, path: string): RouteIntent | undefined {
        return findPrefix(this.routesByHost.get(host), path) ?? findPrefix(this.routesByHost.get("*"), path);
    }
}

function indexRoutes(parts: ManifestParts): ReadonlyMap<string, readonly RouteIntent[]> {
    const byHost = new Map<string, RouteIntent[]>();
    for (const route of routesOf(parts.values())) {
        const routes = byHost.get(route.host) ?? [];
        routes.push(route);
        byHost.set(route.host, routes);
    }
    byHost.forEach((routes) => routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length));
    return byHost;
}

function routesOf(parts: Iterable<ManifestPart>): readonly RouteIntent[] {
    return [...parts].flatMap((part) => part.kind === PartKind.Route ? [part.value] : []);
}

function findPrefix(routes: readonly RouteIntent[] | undefined, path: string): RouteIntent | undefined {
    return routes?.find((route) => matchesPrefix(route.pathPrefix, path));
}

function matchesPrefix(prefix: string, path: string): boolean {
    if (!path.startsWith(prefix)) {
        return false;
    }
    return prefix.endsWith("/") || path.length === prefix.length || path[prefix.length] === "/" || path[prefix.length] === "?";
}
