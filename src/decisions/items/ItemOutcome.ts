import { ItemOutcomeKind } from "./ItemOutcomeKind.js";

/** Outcome of a change of configuration items. */
export type ItemOutcome =
    | { readonly kind: ItemOutcomeKind.Accepted }
    /** An item already has different content under the same version. */
    | { readonly kind: ItemOutcomeKind.Conflict; readonly key: string; readonly version: number }
    /** A route names a service that does not exist. */
    | { readonly kind: ItemOutcomeKind.UnknownService; readonly key: string; readonly service: string }
    /** A key would belong to two organisations. */
    | { readonly kind: ItemOutcomeKind.SharedKey; readonly key: string; readonly other: string };
