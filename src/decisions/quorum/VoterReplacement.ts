import { VoterState } from "./VoterState.js";
import { VoterWait } from "./VoterWait.js";

/** A voter that does not reply, and what its replacement waits for. */
export interface VoterReplacement {
    readonly identity: string;
    readonly state: VoterState;
    readonly waitsFor: VoterWait;
}
