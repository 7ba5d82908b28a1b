import { BodyResultKind } from "./BodyResultKind.js";

/** Result of reading the body of a request. */
export type BodyResult =
    | { readonly kind: BodyResultKind.Complete; readonly body: Buffer }
    | { readonly kind: Exclude<BodyResultKind, BodyResultKind.Complete> };
