import { Manifest } from "./Manifest.js";

/** One customer's limit in the manifest. */
export type CustomerIntent = Manifest["customers"][number];
