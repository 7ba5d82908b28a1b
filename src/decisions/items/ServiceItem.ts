import { ItemKind } from "./ItemKind.js";

/** A service that routes can refer to. */
export interface ServiceItem {
    readonly kind: ItemKind.Service;
    readonly name: string;
    /** Path of its endpoints' health check. */
    readonly healthPath: string;
    /** Maximum number of connections to one endpoint from all callers together. */
    readonly maxConnections: number;
}
