import { BackendAnswer } from "../../backend/BackendAnswer.js";
import { RefusalCause } from "../../model/RefusalCause.js";
import { CourseEffectKind } from "./CourseEffectKind.js";
import { CourseFailure } from "./CourseFailure.js";
import { OfferTerms } from "./OfferTerms.js";

/** Something to do for a request. */
export type CourseEffect =
    | { readonly kind: CourseEffectKind.Offer; readonly attempt: number; readonly vm: string; readonly terms: OfferTerms }
    | { readonly kind: CourseEffectKind.Cancel; readonly attempt: number }
    | { readonly kind: CourseEffectKind.ArmHedge; readonly attempt: number; readonly atMs: number }
    | { readonly kind: CourseEffectKind.Deliver; readonly answer: BackendAnswer; readonly attempt: number }
    | { readonly kind: CourseEffectKind.Refuse; readonly cause: RefusalCause; readonly retryAfterMs: number }
    | { readonly kind: CourseEffectKind.Fail; readonly failure: CourseFailure; readonly problem: string };
