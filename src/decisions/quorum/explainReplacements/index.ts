import { VoterAssessment } from "../VoterAssessment.js";
import { VoterChange } from "../VoterChange.js";
import { VoterReplacement } from "../VoterReplacement.js";
import { VoterState } from "../VoterState.js";
import { VoterWait } from "../VoterWait.js";

/**
 * Tells an operator which voters are to be replaced, and why that has not happened yet.
 *
 * @param assessment - State of the voters.
 * @param change - Next change of the voters, or undefined if none can be made.
 * @returns The voters that do not reply.
 * @example
 * explainReplacements({ voters: [{ identity: "a:1", state: VoterState.Lost }], spares: [], toleratedLosses: 0 }, undefined); // waits for a spare
 */
export function explainReplacements(assessment: VoterAssessment, change: VoterChange | undefined): readonly VoterReplacement[] {
    return assessment.voters
        .filter(({ state }) => state !== VoterState.Live)
        .map(({ identity, state }) => ({ identity, state, waitsFor: findWait(identity, state, assessment, change) }));
}

function findWait(identity: string, state: VoterState, { spares }: VoterAssessment, change: VoterChange | undefined): VoterWait {
    if (change !== undefined) {
        return change.identity === identity ? VoterWait.Commit : VoterWait.OtherChange;
    }
    if (state === VoterState.Silent) {
        return VoterWait.Return;
    }
    return spares.length === 0 ? VoterWait.Spare : VoterWait.CatchUp;
}
