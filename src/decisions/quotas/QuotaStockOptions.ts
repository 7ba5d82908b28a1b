import { QuotaTerms } from "./QuotaTerms.js";

/** Settings of `QuotaStock`. */
export interface QuotaStockOptions {
    /** Name of the VM of the proxy. */
    readonly vm: string;
    readonly failureDomain: string;
    readonly terms: QuotaTerms;
    /** Source of numbers from 0 up to, but not including, 1. */
    readonly random: () => number;
}
