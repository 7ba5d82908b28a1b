import { RetryBudgetTerms } from "../decisions/requests/RetryBudgetTerms.js";
import { CallerDialect } from "./CallerDialect.js";

/** What the desk for callers is made from. */
export interface CallerDeskSetup {
    /** Names this run of the proxy among all. */
    readonly entryRun: string;
    readonly retryTerms: RetryBudgetTerms;
    readonly dialect: CallerDialect;
    /** Tells the fleet of an endpoint that was lost while it ran a request. */
    onStrike(fingerprint: string, loss: string): void;
    /** Tells the fleet that a request which had been struck was answered. */
    onAcquittal(fingerprint: string): void;
    /** Service that runs on this VM. */
    callerService(): string;
}
