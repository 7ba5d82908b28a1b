import { Manifest } from "./Manifest.js";

/** The fleet-wide settings of the manifest. */
export type FleetSpec = Manifest["fleet"];
