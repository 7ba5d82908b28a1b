import { QuotaAsk } from "../decisions/quotas/QuotaAsk.js";
import { QuotaControl } from "../decisions/quotas/QuotaControl.js";
import { QuotaGrant } from "../decisions/quotas/QuotaGrant.js";
import { ProxyMessageKind } from "./ProxyMessageKind.js";

/** Message between two proxies that concerns no request, carried by the tunnel of the one that asks. */
export type ProxyMessage =
    | { readonly kind: ProxyMessageKind.RelayQuery }
    /** `relays` are other proxies that reach control VMs, as far as the sender knows. */
    | { readonly kind: ProxyMessageKind.RelayStatement; readonly controls: readonly QuotaControl[]; readonly relays: readonly string[] }
    | { readonly kind: ProxyMessageKind.RelayedAsk; readonly controlVm: string; readonly id: number; readonly asks: readonly QuotaAsk[] }
    | { readonly kind: ProxyMessageKind.RelayedGrant; readonly controlVm: string; readonly id: number; readonly grants: readonly QuotaGrant[] };
