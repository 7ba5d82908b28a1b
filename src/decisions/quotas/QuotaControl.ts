import { QuotaPath } from "./QuotaPath.js";

/** A control VM that a proxy can ask for tokens. */
export interface QuotaControl extends QuotaPath {
    readonly failureDomain: string;
}
