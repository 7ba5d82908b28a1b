import { QuotaTerms } from "../../decisions/quotas/QuotaTerms.js";
import { MeshSettings } from "../MeshSettings.js";

/**
 * Returns by how much organisations may exceed their quotas.
 *
 * @param settings - Settings of a process.
 * @returns The permitted excess.
 * @example
 * quotaTermsOf(settings).windowMs; // 5_000
 */
export function quotaTermsOf({ terms }: MeshSettings): QuotaTerms {
    return { windowMs: terms.quotaWindow, overshoot: terms.quotaOvershoot, slack: terms.quotaSlack };
}
