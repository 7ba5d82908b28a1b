import { Manifest } from "./Manifest.js";

/** A service in the manifest. */
export type ServiceSpec = Manifest["services"][number];
