import { RefusalCause } from "../../model/RefusalCause.js";
import { AdmissionKind } from "./AdmissionKind.js";

/** Admission decision of a gate on an offered request. */
export type Admission =
    | { readonly kind: AdmissionKind.Start }
    | { readonly kind: AdmissionKind.Queue }
    | { readonly kind: AdmissionKind.Refuse; readonly cause: RefusalCause; readonly retryAfterMs: number };
