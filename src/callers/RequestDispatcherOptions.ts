import { CallerDialect } from "./CallerDialect.js";
import { QuotaPort } from "./QuotaPort.js";

/** Settings and dependencies of `RequestDispatcher`. */
export interface RequestDispatcherOptions {
    /** Identifies this run of the proxy within the fleet. */
    readonly entryRun: string;
    readonly dialect: CallerDialect;
    /** Reports to the fleet that an endpoint crashed while it executed a request. */
    onStrike(fingerprint: string, loss: string): void;
    /** Reports to the fleet that a request with strikes has been answered. */
    onStrikesCleared(fingerprint: string): void;
    /** Returns the probability that a request from this VM is a call made by a retried request, from 0 to 1. */
    callOfRepeatShare(): number;
    /** Returns the service that runs on this VM. */
    callerService(): string;
    /** Quotas of organisations; without it, no request is limited. */
    readonly quota?: QuotaPort;
}
