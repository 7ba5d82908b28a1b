import { QuotaControl } from "./QuotaControl.js";

/** What a proxy knows about the fleet when it decides on a quota. */
export interface QuotaView {
    /** Control VMs that can be asked over a live link or through another proxy, and are not known to lag behind the configuration. */
    readonly controls: readonly QuotaControl[];
    /** Number of proxies known, itself included. */
    readonly proxyCount: number;
    /** True while a proxy may still be found that passes asks on; requests wait for that if no control VM can be asked. */
    readonly mayFindRelay?: boolean;
}
