import { Roster } from "../claims/Roster.js";
import { CustomerIntent } from "./CustomerIntent.js";
import { FleetIntent } from "./FleetIntent.js";
import { PartKind } from "./PartKind.js";
import { RouteIntent } from "./RouteIntent.js";
import { ServiceIntent } from "./ServiceIntent.js";

/** One part of a manifest: the unit of change, storage and spread. */
export type ManifestPart =
    | { readonly kind: PartKind.Fleet; readonly value: FleetIntent }
    | { readonly kind: PartKind.Service; readonly value: ServiceIntent }
    | { readonly kind: PartKind.Route; readonly value: RouteIntent }
    | { readonly kind: PartKind.Customer; readonly value: CustomerIntent }
    | { readonly kind: PartKind.Roster; readonly value: Roster };
