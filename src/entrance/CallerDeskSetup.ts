import { CallerDialect } from "./CallerDialect.js";

/** What the desk for callers is made from. */
export interface CallerDeskSetup {
    /** Names this run of the proxy among all. */
    readonly entryRun: string;
    readonly dialect: CallerDialect;
    /** Tells the fleet of an endpoint that was lost while it ran a request. */
    onStrike(fingerprint: string, loss: string): void;
    /** Tells the fleet that a request which had been struck was answered. */
    onAcquittal(fingerprint: string): void;
    /** Likelihood that a request which begins on this VM now is a call made by repeated work, from 0 to 1. */
    callOfRepeatShare(): number;
    /** Service that runs on this VM. */
    callerService(): string;
}
