import { StatedLimitKind } from "./StatedLimitKind.js";

/** Limit on the rate of requests from all proxies together, as a backend server states it in a response. */
export type StatedLimit =
    | { readonly kind: StatedLimitKind.None }
    | { readonly kind: StatedLimitKind.Unreadable }
    | { readonly kind: StatedLimitKind.Rate; readonly perSecond: number };
