import { BackendResponse } from "../../backend/BackendResponse.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { DispatchEffectKind } from "./DispatchEffectKind.js";
import { DispatchFailure } from "./DispatchFailure.js";
import { OfferTerms } from "./OfferTerms.js";

/** Action that the dispatch state machine asks its entry to carry out. */
export type DispatchEffect =
    | { readonly kind: DispatchEffectKind.Offer; readonly attempt: number; readonly vm: string; readonly terms: OfferTerms }
    | { readonly kind: DispatchEffectKind.Cancel; readonly attempt: number }
    | { readonly kind: DispatchEffectKind.ScheduleHedge; readonly attempt: number; readonly atMs: number }
    | { readonly kind: DispatchEffectKind.Deliver; readonly answer: BackendResponse; readonly attempt: number }
    | { readonly kind: DispatchEffectKind.Refuse; readonly cause: RefusalCause; readonly retryAfterMs: number }
    | { readonly kind: DispatchEffectKind.Fail; readonly failure: DispatchFailure; readonly problem: string };
