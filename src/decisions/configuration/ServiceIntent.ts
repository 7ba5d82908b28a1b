import { Manifest } from "./Manifest.js";

/** One service of the manifest. */
export type ServiceIntent = Manifest["services"][number];
