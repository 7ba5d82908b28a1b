import { Roster } from "../claims/Roster.js";
import { CustomerSpec } from "./CustomerSpec.js";
import { FleetSpec } from "./FleetSpec.js";
import { PartKind } from "./PartKind.js";
import { RouteSpec } from "./RouteSpec.js";
import { ServiceSpec } from "./ServiceSpec.js";

/** A part of a manifest: the unit of change, storage and distribution. */
export type ManifestPart =
    | { readonly kind: PartKind.Fleet; readonly value: FleetSpec }
    | { readonly kind: PartKind.Service; readonly value: ServiceSpec }
    | { readonly kind: PartKind.Route; readonly value: RouteSpec }
    | { readonly kind: PartKind.Customer; readonly value: CustomerSpec }
    | { readonly kind: PartKind.Roster; readonly value: Roster };
