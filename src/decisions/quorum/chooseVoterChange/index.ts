import { VoterChange } from "../VoterChange.js";
import { VoterStatus } from "../VoterStatus.js";

/**
 * Chooses the next addition or removal of one voter. A lost voter is replaced once another control VM is available. If a VM
 * returned with an empty disk, its old identity is removed first, since that disk will not come back. A VM at another
 * address is added before the lost voter is removed, since the lost one may only be partitioned.
 *
 * @param status - Voters and reachable control VMs.
 * @returns The change, or undefined if none is needed.
 * @example
 * chooseVoterChange({ voters: ["a:1"], live: ["a:1", "b:1"], lost: [], targetCount: 3 }); // { identity: "b:1", isAddition: true }
 */
export function chooseVoterChange(status: VoterStatus): VoterChange | undefined {
    const { voters, live, lost, targetCount } = status;
    const spares = live.filter((identity) => !voters.includes(identity));
    const [firstSpare] = spares;
    const wipedVoter = voters.find((voter) => !live.includes(voter) && spares.some((spare) => vmOf(spare) === vmOf(voter)));
    if (wipedVoter !== undefined && voters.length >= targetCount) {
        return { identity: wipedVoter, isAddition: false };
    }
    if (voters.length > targetCount) {
        const excessVoter = lost[0];
        return excessVoter === undefined ? undefined : { identity: excessVoter, isAddition: false };
    }
    if (firstSpare === undefined) {
        return undefined;
    }
    const canAdd = voters.length < targetCount || lost.length > 0;
    return canAdd ? { identity: firstSpare, isAddition: true } : undefined;
}

function vmOf(identity: string): string {
    return identity.slice(0, identity.lastIndexOf(":"));
}
