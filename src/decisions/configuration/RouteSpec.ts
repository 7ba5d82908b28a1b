import { Manifest } from "./Manifest.js";

/** A route in the manifest. */
export type RouteSpec = Manifest["routes"][number];
