import { VoterAssessment } from "../VoterAssessment.js";
import { VoterChange } from "../VoterChange.js";
import { VoterState } from "../VoterState.js";
import { vmOf } from "../vmOf/index.js";

/**
 * Chooses the next addition or removal of one voter (Ongaro's thesis, section 4.1). No change lowers the number of losses that the voters bear.
 *
 * A superseded voter is removed before its VM is added again, as its disk will not come back; but the voters do not fall below one
 * less than their target, since a majority of fewer would hold fewer copies of an entry. A lost voter may only be cut off, so that it is
 * removed after another VM has been added. Only identities that have caught up are added.
 *
 * @param assessment - State of the voters and of the identities that could become voters.
 * @param targetCount - Desired number of voters.
 * @returns The change, or undefined if none is needed or possible.
 * @example
 * const voters = [{ identity: "a:1", state: VoterState.Live }];
 * chooseVoterChange({ voters, spares: [{ identity: "b:1", hasCaughtUp: true }], toleratedLosses: 0 }, 3); // { identity: "b:1", isAddition: true }
 */
export function chooseVoterChange({ voters, spares }: VoterAssessment, targetCount: number): VoterChange | undefined {
    const superseded = voters.find(({ state }) => state === VoterState.Superseded);
    const lost = voters.find(({ state }) => state === VoterState.Lost);
    const removable = superseded ?? (voters.length > targetCount ? lost : undefined);
    if (removable !== undefined && voters.length >= targetCount) {
        return { identity: removable.identity, isAddition: false };
    }
    const canAdd = voters.length < targetCount || (voters.length === targetCount && lost !== undefined);
    const spare = canAdd ? chooseSpare(voters, spares) : undefined;
    return spare === undefined ? undefined : { identity: spare, isAddition: true };
}

/** Prefers a VM that does not vote under any identity yet. */
function chooseSpare(voters: VoterAssessment["voters"], spares: VoterAssessment["spares"]): string | undefined {
    const votingVms = new Set(voters.map(({ identity }) => vmOf(identity)));
    const candidates = spares.filter(({ hasCaughtUp }) => hasCaughtUp).map(({ identity }) => identity);
    return candidates.find((identity) => !votingVms.has(vmOf(identity))) ?? candidates[0];
}
