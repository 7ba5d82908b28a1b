import { QuotaControl } from "./QuotaControl.js";

/** What a proxy knows about the fleet when it decides on a quota. */
export interface QuotaView {
    /** Control VMs with a live link that are not known to lag behind the configuration. */
    readonly controls: readonly QuotaControl[];
    /** Number of proxies known, itself included. */
    readonly proxyCount: number;
}
