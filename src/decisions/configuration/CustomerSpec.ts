import { Manifest } from "./Manifest.js";

/** A customer's rate limit in the manifest. */
export type CustomerSpec = Manifest["customers"][number];
