import { ItemKind } from "./ItemKind.js";

/** A service that routes may name. */
export interface ServiceItem {
    readonly kind: ItemKind.Service;
    readonly name: string;
    /** Path of the health check of its endpoints. */
    readonly healthPath: string;
    /** Connections that an endpoint accepts from all callers together. */
    readonly maxConnections: number;
}
