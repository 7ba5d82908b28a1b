import { SoakOrganisation } from "./SoakOrganisation.js";

/** Organisations of the soak: one without a limit, and one whose callers send far more than its limit. */
export const SOAK_ORGANISATIONS: Readonly<Record<"unlimited" | "exceeding", SoakOrganisation>> = {
    unlimited: { name: "org-unlimited", apiKey: "key-of-unlimited", ratePerSecond: 0, burst: 0 },
    exceeding: { name: "org-exceeding", apiKey: "key-of-exceeding", ratePerSecond: 4, burst: 4 },
};
