import { VoterAction } from "../VoterAction.js";
import { VoterSituation } from "../VoterSituation.js";

/**
 * Chooses the next change of one voter. A lost voter is replaced once another control VM can take its place: a VM that
 * is back with an empty disk takes the place of its former self at once, since that disk is gone for good; a VM at
 * another address is added first, since the lost one may be cut off only.
 *
 * @param situation - Voters and who answers.
 * @returns The change, or undefined if there is none to make.
 * @example
 * chooseVoterAction({ voters: ["a:1"], live: ["a:1", "b:1"], lost: [], wanted: 3 }); // { identity: "b:1", add: true }
 */
export function chooseVoterAction(situation: VoterSituation): VoterAction | undefined {
    const { voters, live, lost, wanted } = situation;
    const spares = live.filter((identity) => !voters.includes(identity));
    const [firstSpare] = spares;
    const emptied = voters.find((voter) => !live.includes(voter) && spares.some((spare) => vmOf(spare) === vmOf(voter)));
    if (emptied !== undefined && voters.length >= wanted) {
        return { identity: emptied, add: false };
    }
    if (voters.length > wanted) {
        const surplus = lost[0];
        return surplus === undefined ? undefined : { identity: surplus, add: false };
    }
    if (firstSpare === undefined) {
        return undefined;
    }
    const mayAdd = voters.length < wanted || lost.length > 0;
    return mayAdd ? { identity: firstSpare, add: true } : undefined;
}

function vmOf(identity: string): string {
    return identity.slice(0, identity.lastIndexOf(":"));
}
