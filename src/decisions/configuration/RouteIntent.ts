import { Manifest } from "./Manifest.js";

/** One route of the manifest. */
export type RouteIntent = Manifest["routes"][number];
