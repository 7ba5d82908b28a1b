import { RetryBudgetTerms } from "../decisions/requests/RetryBudgetTerms.js";
import { CallerDialect } from "./CallerDialect.js";

/** What the desk for callers is made from. */
export interface CallerDeskSetup {
    /** Names this run of the proxy among all. */
    readonly entryRun: string;
    readonly retryTerms: RetryBudgetTerms;
    readonly dialect: CallerDialect;
    /** Service that runs on this VM. */
    callerService(): string;
}
