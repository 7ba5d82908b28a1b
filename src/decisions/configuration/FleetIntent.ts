import { Manifest } from "./Manifest.js";

/** The fleet-wide part of the manifest. */
export type FleetIntent = Manifest["fleet"];
