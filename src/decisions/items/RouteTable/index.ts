import { Item } from "../Item.js";
import { ItemKind } from "../ItemKind.js";
import { LimitsItem } from "../LimitsItem.js";
import { OrganisationItem } from "../OrganisationItem.js";
import { RouteItem } from "../RouteItem.js";
import { PlacementPolicy } from "../../placement/PlacementPolicy.js";
import { ServiceItem } from "../ServiceItem.js";
import { VersionedItem } from "../VersionedItem.js";

/** Immutable index of the configuration items in force, for lookups by requests. */
export class RouteTable {
    private readonly routesByHost = new Map<string, RouteItem[]>();
    private readonly services = new Map<string, ServiceItem>();
    private readonly organisationsByKey = new Map<string, OrganisationItem>();
    /** True if the configuration holds organisations, so that requests need a key. */
    readonly hasOrganisations: boolean;
    /**
     * Placement by bytes and speed is for configurations with organisations or large request bodies; for others, no gain from it was shown.
     */
    readonly placementPolicy: PlacementPolicy;
    /** Limits on callers, or undefined if none are set. */
    readonly limits: LimitsItem | undefined;

    private constructor(items: readonly VersionedItem[]) {
        const contents = items.flatMap(({ content }) => content === undefined ? [] : [content]);
        contents.forEach((content) => this.index(content));
        this.routesByHost.forEach((routes) => routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length));
        this.hasOrganisations = contents.some(({ kind }) => kind === ItemKind.Organisation);
        const hasLargeBodies = contents.some((content) => content.kind === ItemKind.Route && content.hasLargeBodies);
        this.placementPolicy = this.hasOrganisations || hasLargeBodies ? PlacementPolicy.NearestInTime : PlacementPolicy.Soonest;
        this.limits = contents.find((content) => content.kind === ItemKind.Limits);
    }

    /** Creates a table from configuration items; tombstones are skipped. */
    static create(items: readonly VersionedItem[]): RouteTable {
        return new RouteTable(items);
    }

    /** Finds the route of a host with the longest prefix of the path. */
    route(host: string, path: string): RouteItem | undefined {
        return this.routesByHost.get(host.toLowerCase())?.find((route) => path.startsWith(route.pathPrefix));
    }

    /** Looks up a service by name. */
    service(name: string): ServiceItem | undefined {
        return this.services.get(name);
    }

    /** Finds the organisation that holds a key. */
    findOrganisation(apiKey: string): OrganisationItem | undefined {
        return this.organisationsByKey.get(apiKey);
    }

    private index(content: Item): void {
        if (content.kind === ItemKind.Route) {
            const host = content.host.toLowerCase();
            this.routesByHost.set(host, [...this.routesByHost.get(host) ?? [], content]);
        }
        if (content.kind === ItemKind.Service) {
            this.services.set(content.name, content);
        }
        if (content.kind === ItemKind.Organisation) {
            content.apiKeys.forEach((apiKey) => this.organisationsByKey.set(apiKey, content));
        }
    }
}
