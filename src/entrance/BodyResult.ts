import { BodyResultKind } from "./BodyResultKind.js";

/** End of the reading of a caller's body. */
export type BodyResult =
    | { readonly kind: BodyResultKind.Whole; readonly body: Buffer }
    | { readonly kind: Exclude<BodyResultKind, BodyResultKind.Whole> };
