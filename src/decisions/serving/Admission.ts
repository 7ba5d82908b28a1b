import { RefusalCause } from "../../model/RefusalCause.js";
import { AdmissionKind } from "./AdmissionKind.js";

/** Decision of a gate on a request that arrives. */
export type Admission =
    | { readonly kind: AdmissionKind.Start }
    | { readonly kind: AdmissionKind.Queue }
    | { readonly kind: AdmissionKind.Refuse; readonly cause: RefusalCause; readonly retryAfterMs: number };
